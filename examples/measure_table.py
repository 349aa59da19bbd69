"""The table of measures that the demo prints."""

import attrs

__all__ = ['MeasureTable', 'Row']


@attrs.frozen
class Row:
    """One measure with its baseline and bound.

    Attributes
    ----------
    name : str
        What was measured.
    figure : str
        Value of this run, as printed.
    baseline : str
        Value with the control under test off, empty if not measured.
    bound : str
        Guaranteed bound, empty for a measure without one.
    passed : bool or None
        Whether the bound was met; ``None`` without a bound.
    """

    name: str
    figure: str
    baseline: str = ''
    bound: str = ''
    passed: bool | None = None


class MeasureTable:
    """Collects rows and renders them as text."""

    def __init__(self) -> None:
        self.rows: list[Row] = []

    def add(self, *fields: object) -> None:
        """Add a row; see `Row` for the fields."""
        self.rows.append(Row(*fields))

    def failed(self) -> bool:
        """Return whether any bound was missed."""
        return any(row.passed is False for row in self.rows)

    def render(self) -> str:
        """Return the table as text."""
        lines = [
            f'{"measure":44}{"figure":>12}{"baseline":>12}'
            f'{"bound":>10}  verdict'
        ]
        for row in self.rows:
            verdict = {True: 'pass', False: 'FAIL', None: '-'}[row.passed]
            lines.append(
                f'{row.name:44}{row.figure:>12}{row.baseline or "-":>12}'
                f'{row.bound or "-":>10}  {verdict}'
            )
        return '\n'.join(lines)
