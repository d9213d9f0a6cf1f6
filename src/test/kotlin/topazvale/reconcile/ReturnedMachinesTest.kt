package topazvale.reconcile

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class ReturnedMachinesTest {
    @Test
    fun `only the most recently returned machines are remembered, so memory stays bounded`() {
        val returned = ReturnedMachines(maxSize = 3)
        for (number in 1..5) returned += "n-$number"
        returned += "n-4"
        assertEquals(listOf(false, false, true, true, true), (1..5).map { "n-$it" in returned })
        for (number in 6..1000) returned += "n-$number"
        assertEquals(3, returned.size)
    }
}
