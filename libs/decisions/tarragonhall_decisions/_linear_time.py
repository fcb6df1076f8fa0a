"""A duration learnt as a linear function of the work and of the calls that run beside it."""

from __future__ import annotations

# Share of the earlier samples that counts after each new one: the last hundred or so count.
KEPT = 0.99
# Samples for which the starting values count.
PRIOR_SAMPLES = 0.3
# One slow sample counts as this many times the expected duration at most.
MAX_RATIO = 3.0
# Samples between two solutions, which cost more than a sample.
SOLVE_INTERVAL = 8


class LinearTime:
    """`base + per_unit * units + per_call * calls` milliseconds, fitted to samples.

    The starting values count as `PRIOR_SAMPLES` samples, also for a coefficient that the samples
    say nothing about. `units` and `calls` should be about 1 to 20. No coefficient is negative.
    """

    __slots__ = ("_matrix", "_prior", "_samples", "_vector", "coefficients")

    def __init__(self, base: float, per_unit: float, per_call: float) -> None:
        self._prior = (base, per_unit, per_call)
        self.coefficients = self._prior
        # Sums over the samples of x_i * x_j and of x_i * (duration - starting value).
        self._matrix = [[0.0] * 3 for _ in range(3)]
        self._vector = [0.0] * 3
        self._samples = 0

    def at(self, units: float, calls: float) -> float:
        """Return the expected duration in milliseconds."""
        base, per_unit, per_call = self.coefficients
        return base + per_unit * units + per_call * calls

    def add(self, units: float, calls: float, duration_ms: float) -> None:
        """Learn from one sample."""
        x = (1.0, units, calls)
        expected_ms = self.at(units, calls)
        duration_ms = min(duration_ms, MAX_RATIO * expected_ms)
        weight = 1.0 / max(1.0, expected_ms)
        base, per_unit, per_call = self._prior
        excess = weight * (duration_ms - base - per_unit * units - per_call * calls)
        for i in range(3):
            self._vector[i] = KEPT * self._vector[i] + x[i] * excess
            for j in range(3):
                self._matrix[i][j] = KEPT * self._matrix[i][j] + weight * x[i] * x[j]
        self._samples += 1
        if self._samples % SOLVE_INTERVAL == 0:
            self._solve()

    def _solve(self) -> None:
        (a, b, c), (_, d, e), (_, _, f) = self._matrix
        a, d, f = a + PRIOR_SAMPLES, d + PRIOR_SAMPLES, f + PRIOR_SAMPLES
        # Cofactors of the symmetric matrix, whose determinant the prior keeps above zero.
        aa, ab, ac = d * f - e * e, c * e - b * f, b * e - c * d
        bb, bc, cc = a * f - c * c, b * c - a * e, a * d - b * b
        determinant = a * aa + b * ab + c * ac
        u, v, w = self._vector
        change = (aa * u + ab * v + ac * w, ab * u + bb * v + bc * w, ac * u + bc * v + cc * w)
        self.coefficients = tuple(
            max(0.0, start + one / determinant)
            for start, one in zip(self._prior, change, strict=True)
        )
