package review;

/** A limit of calls per second with bursts. */
final class Limit {
    private final double perSecond;
    private final double burst;
    private double left;
    private long at = System.nanoTime();

    Limit(double perSecond, double burst) {
        this.perSecond = perSecond;
        this.burst = burst;
        left = burst;
    }

    synchronized boolean take(int count) {
        long now = System.nanoTime();
        left = Math.min(burst, left + (now - at) / 1e9 * perSecond);
        at = now;
        if (left < count) return false;
        left -= count;
        return true;
    }
}
