"""The command line ``chestnutshuntd``."""

import logging
import signal
import sys
import threading
from types import FrameType

import cyclopts

from chestnutshunt import errors
from chestnutshunt_daemon import daemon
from chestnutshunt_daemon import log_format
from chestnutshunt_daemon import settings

__all__ = ['main']

LOG = logging.getLogger(__name__)

BAD_SETTINGS_EXIT_STATUS = 2

app = cyclopts.App(
    name='chestnutshuntd', help='Rollout service daemon.', version_flags=[]
)


@app.command
def run(file: str) -> None:
    """Run the daemon until SIGTERM or SIGINT, then drain it.

    Parameters
    ----------
    file : str
        TOML file with the daemon's settings.
    """
    config = settings.load_settings(file)
    log_format.configure_logging(config.log_format, config.log_level)
    stop = threading.Event()

    def handle(number: int, frame: FrameType | None) -> None:
        stop.set()

    signal.signal(signal.SIGTERM, handle)
    signal.signal(signal.SIGINT, handle)
    with daemon.run_daemon(daemon.make_node(config)) as state:
        stop.wait()
        daemon.drain(state)


@app.command
def check(file: str) -> None:
    """Check a settings file and say what is wrong with it.

    Parameters
    ----------
    file : str
        TOML file with the daemon's settings.
    """
    config = settings.load_settings(file)
    print(f'{file}: {config.name} in {config.datacentre}: good')


def main() -> None:
    """Run the command that the arguments name; exit with 2 on an error."""
    try:
        app()
    except errors.ChestnutshuntError as exc:
        print(f'chestnutshuntd: {exc}', file=sys.stderr)
        sys.exit(BAD_SETTINGS_EXIT_STATUS)


if __name__ == '__main__':
    main()
