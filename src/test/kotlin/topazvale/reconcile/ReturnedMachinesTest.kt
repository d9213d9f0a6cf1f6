package topazvale.reconcile

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class ReturnedMachinesTest {
    @Test
    fun `the machines that went back last are remembered, and memory does not grow with all of them`() {
        val returned = ReturnedMachines(most = 3)
        for (number in 1..5) returned += "n-$number"
        returned += "n-4"
        assertEquals(listOf(false, false, true, true, true), (1..5).map { "n-$it" in returned })
        for (number in 6..1000) returned += "n-$number"
        assertEquals(3, returned.size)
    }
}
