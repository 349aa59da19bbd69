"""Least-squares fit of a line to a few measurements."""

import attrs

__all__ = ['Fit', 'fit']


@attrs.frozen
class Fit:
    """A fitted line and its largest residual.

    Attributes
    ----------
    base : float
        Value at size 0.
    slope : float
        Increase for each unit of size.
    residual : float
        Largest distance of a point from the line, in the value's unit.
    """

    base: float
    slope: float
    residual: float

    def at(self, size: float) -> float:
        """Return the line's value at a size."""
        return self.base + self.slope * size


def fit(points: list[tuple[float, float]]) -> Fit:
    """Fit a line to points of size and value, shape (n, 2), n >= 3."""
    if len(points) < 3:
        raise ValueError('Measure at least three sizes.')
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    base = mean_y - slope * mean_x
    residual = max(abs(y - base - slope * x) for x, y in points)
    return Fit(base, slope, residual)


def show(
    title: str,
    unit: str,
    points: list[tuple[float, float]],
    target: float,
    target_name: str,
) -> Fit:
    """Print measurements, their line and its value at the target size."""
    line = fit(points)
    measured = ', '.join(f'{x:g}: {y:.4g}' for x, y in points)
    print(
        f'{title} [{unit}]\n    measured {measured}\n'
        f'    line {line.base:.4g} + {line.slope:.4g} x, '
        f'residual {line.residual:.2g}; '
        f'at {target:g} {target_name}: {line.at(target):.4g}'
    )
    return line
