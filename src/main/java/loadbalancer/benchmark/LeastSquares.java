package loadbalancer.benchmark;

/**
 * A straight line through points, y = intercept + slope * x, and which part of y's variance it
 * explains.
 */
record LeastSquares(double slope, double intercept, double r2) {

  /** Throws {@link BenchmarkException} where the points have fewer than two different x. */
  static LeastSquares fit(double[] x, double[] y) {
    int n = x.length;
    double meanX = 0;
    double meanY = 0;
    for (int i = 0; i < n; i++) {
      meanX += x[i] / n;
      meanY += y[i] / n;
    }
    double xx = 0;
    double xy = 0;
    double yy = 0;
    for (int i = 0; i < n; i++) {
      xx += (x[i] - meanX) * (x[i] - meanX);
      xy += (x[i] - meanX) * (y[i] - meanY);
      yy += (y[i] - meanY) * (y[i] - meanY);
    }
    if (xx == 0) {
      throw new BenchmarkException("a slope needs two different sizes at least");
    }
    double slope = xy / xx;
    return new LeastSquares(slope, meanY - slope * meanX, yy == 0 ? 1 : slope * xy / yy);
  }
}
