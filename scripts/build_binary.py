"""Build the one-file binary: a shiv zipapp of the package and its libraries.

The libraries are copied from the environment that the tests run in, so the
binary holds exactly the versions that were tested and the build is offline.
"""

import shutil
import subprocess
import sys
import tempfile
import tomllib
from collections.abc import Iterator
from importlib import metadata
from pathlib import Path

from packaging.requirements import Requirement
from packaging.utils import canonicalize_name

ROOT = Path(__file__).resolve().parent.parent
ENTRY_POINT = 'bronzepost.__main__:main'
# Compiled libraries fit one minor version of Python.
INTERPRETER = '/usr/bin/env python3.11'
# Tests of libraries, compiled files, and files outside site-packages.
EXCLUDED_PARTS = frozenset(('tests', 'testing', '__pycache__', '..'))


def list_requirements() -> list[str]:
    """Return the run-time requirements of the project."""
    with (ROOT / 'pyproject.toml').open('rb') as project_file:
        project = tomllib.load(project_file)['project']
    return list(project['dependencies'])


def find_distributions(
    requirements: list[str],
) -> dict[str, metadata.Distribution]:
    """Return the installed distributions of requirements, by name.

    Their own requirements are included.
    """
    distributions: dict[str, metadata.Distribution] = {}
    pending = [Requirement(text) for text in requirements]
    while pending:
        requirement = pending.pop()
        name = canonicalize_name(requirement.name)
        if name in distributions or not is_needed(requirement):
            continue
        distributions[name] = metadata.distribution(name)
        needed = distributions[name].requires or []
        pending.extend(Requirement(text) for text in needed)
    return distributions


def is_needed(requirement: Requirement) -> bool:
    """Return whether a requirement applies here without extras."""
    marker = requirement.marker
    return marker is None or marker.evaluate({'extra': ''})


def list_files(
    distribution: metadata.Distribution,
) -> Iterator[tuple[Path, Path]]:
    """Yield each file of a distribution and its path in the binary."""
    for entry in distribution.files or ():
        path = Path(entry)
        source = Path(str(distribution.locate_file(path)))
        is_excluded = EXCLUDED_PARTS.intersection(path.parts)
        if not is_excluded and source.is_file():
            yield source, path


def copy_distribution(
    distribution: metadata.Distribution, target: Path
) -> None:
    """Copy the files of a distribution."""
    for source, path in list_files(distribution):
        (target / path).parent.mkdir(parents=True, exist_ok=True)
        shutil.copyfile(source, target / path)


def build(output: Path) -> None:
    """Write the binary."""
    output.parent.mkdir(parents=True, exist_ok=True)
    with tempfile.TemporaryDirectory() as directory:
        target = Path(directory)
        for distribution in find_distributions(list_requirements()).values():
            copy_distribution(distribution, target)
        shutil.copytree(
            ROOT / 'src' / 'bronzepost',
            target / 'bronzepost',
            ignore=shutil.ignore_patterns('__pycache__'),
        )
        run_shiv(target, output)


def run_shiv(site_packages: Path, output: Path) -> None:
    """Pack a directory of packages into one executable file."""
    arguments = {
        '--site-packages': str(site_packages),
        '--entry-point': ENTRY_POINT,
        '--output-file': str(output),
        '--python': INTERPRETER,
    }
    command = [str(Path(sys.executable).parent / 'shiv'), '--reproducible']
    for option in arguments.items():
        command.extend(option)
    subprocess.run(command, check=True, timeout=300)


if __name__ == '__main__':
    build(Path(sys.argv[1]))
    print(f'built {sys.argv[1]}')
