"""Formats log records with structured fields as text or JSON."""

import json
import logging
import sys

__all__ = ['JsonFormatter', 'TextFormatter', 'configure_logging']

FIELD_NAMES = ('request', 'workspace', 'service', 'attempt', 'target', 'kind')


class TextFormatter(logging.Formatter):
    """Writes one readable line a record, with its fields at the end."""

    def __init__(self) -> None:
        super().__init__('%(asctime)s %(levelname)s %(name)s: %(message)s')

    def format(self, record: logging.LogRecord) -> str:
        """Return the line of a record."""
        line = super().format(record)
        fields = fields_of(record)
        if not fields:
            return line
        suffix = ' '.join(f'{name}={value}' for name, value in fields.items())
        return f'{line} [{suffix}]'


class JsonFormatter(logging.Formatter):
    """Writes one JSON object a record."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the line of a record."""
        entry = {
            'time': self.formatTime(record),
            'level': record.levelname,
            'logger': record.name,
            'message': record.getMessage(),
            **fields_of(record),
        }
        if record.exc_info:
            entry['exception'] = self.formatException(record.exc_info)
        return json.dumps(entry)


def fields_of(record: logging.LogRecord) -> dict[str, str]:
    """Return the structured fields that a record carries."""
    return {
        name: str(getattr(record, name))
        for name in FIELD_NAMES
        if hasattr(record, name)
    }


def configure_logging(log_format: str, level: str) -> None:
    """Write all records of at least a level to standard error.

    The format is ``json``, or else text.
    """
    handler = logging.StreamHandler(sys.stderr)
    formatter = JsonFormatter() if log_format == 'json' else TextFormatter()
    handler.setFormatter(formatter)
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    # grpc logs a stack trace for each malformed message that a peer sends.
    logging.getLogger('grpc._common').setLevel(logging.CRITICAL)
