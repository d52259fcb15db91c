package loadbalancer.benchmark;

/**
 * The straight line y = intercept + slope * x that fits points with the least squared error.
 *
 * @param r2 the part of the variance of y that the line explains, 0 to 1
 */
record LeastSquares(double slope, double intercept, double r2) {

  /** Throws {@link BenchmarkException} if the points have fewer than two different x values. */
  static LeastSquares fit(double[] x, double[] y) {
    int count = x.length;
    double meanX = 0;
    double meanY = 0;
    for (int i = 0; i < count; i++) {
      meanX += x[i] / count;
      meanY += y[i] / count;
    }
    double sumXx = 0;
    double sumXy = 0;
    double sumYy = 0;
    for (int i = 0; i < count; i++) {
      sumXx += (x[i] - meanX) * (x[i] - meanX);
      sumXy += (x[i] - meanX) * (y[i] - meanY);
      sumYy += (y[i] - meanY) * (y[i] - meanY);
    }
    if (sumXx == 0) {
      throw new BenchmarkException(
          "fitting a line needs points with at least two different x values");
    }
    double slope = sumXy / sumXx;
    return new LeastSquares(slope, meanY - slope * meanX, sumYy == 0 ? 1 : slope * sumXy / sumYy);
  }
}
