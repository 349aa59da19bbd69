"""Installs the daemon and its dependencies under target/deps.

Libraries are installed only when requirements.txt has changed since the last
build; the project's own packages are copied on every run.
"""

import pathlib
import shutil
import subprocess
import sys

__all__ = ['main']

ROOT = pathlib.Path(__file__).resolve().parent.parent
DEPENDENCIES_DIR = ROOT / 'target' / 'deps'
REQUIREMENTS_FILE = ROOT / 'deploy' / 'requirements.txt'
INSTALLED_FILE = ROOT / 'target' / 'installed.txt'

PACKAGES = (
    'packages/chestnutshunt/chestnutshunt',
    'packages/chestnutshunt-daemon/chestnutshunt_daemon',
    'platform/chestnutshunt_platform',
)


def install_libraries() -> None:
    """Install the libraries unless the same list is already installed."""
    requirements = REQUIREMENTS_FILE.read_text()
    if INSTALLED_FILE.exists() and INSTALLED_FILE.read_text() == requirements:
        return
    arguments = [
        'install',
        '-q',
        '-U',
        '--target',
        str(DEPENDENCIES_DIR),
        '-r',
        str(REQUIREMENTS_FILE),
    ]
    subprocess.run([sys.executable, '-m', 'pip', *arguments], check=True)
    INSTALLED_FILE.write_text(requirements)


def copy_packages() -> None:
    """Copy the project's packages in place of any older copies."""
    for package in PACKAGES:
        source = ROOT / package
        destination = DEPENDENCIES_DIR / source.name
        shutil.rmtree(destination, ignore_errors=True)
        shutil.copytree(
            source, destination, ignore=shutil.ignore_patterns('__pycache__')
        )


def main() -> None:
    """Install the libraries and copy the project's packages."""
    DEPENDENCIES_DIR.mkdir(parents=True, exist_ok=True)
    install_libraries()
    copy_packages()


if __name__ == '__main__':
    main()
