"""Copy the modules of a gateway to a folder and compile them.

A gateway cannot write to the folder that it is started from, so without
compiled files each start would compile all modules again. The build of
``deploy/system.toml`` runs this script with ``target/gateway``. Unchanged files
are not written, since processes may be starting from the folder.
"""

import os
import py_compile
import sys
from collections.abc import Iterator
from importlib.util import cache_from_source
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
# Folders whose Python files are copied, with paths relative to the folder.
SOURCES = ('platform', 'src')


def list_sources() -> Iterator[tuple[Path, Path]]:
    """Yield each source file with its path in the copy."""
    for name in SOURCES:
        folder = ROOT / name
        for path in sorted(folder.rglob('*.py')):
            yield path, path.relative_to(folder)


def is_up_to_date(source: Path, target: Path) -> bool:
    """Return whether the copy of a source is current and compiled."""
    return (
        target.exists()
        and compiled_path(target).exists()
        and target.read_bytes() == source.read_bytes()
    )


def copy_source(source: Path, target: Path) -> None:
    """Copy and compile a source.

    Raises:
        py_compile.PyCompileError: if the source is not valid.
    """
    target.parent.mkdir(parents=True, exist_ok=True)
    # An interrupted build must not leave a compiled file of older content,
    # since Python does not compare the two when it imports them.
    compiled_path(target).unlink(missing_ok=True)
    partial = target.with_suffix(f'.{os.getpid()}')
    partial.write_bytes(source.read_bytes())
    partial.replace(target)
    # Time stamps would mismatch after a copy that does not preserve them.
    py_compile.compile(
        str(target),
        doraise=True,
        invalidation_mode=py_compile.PycInvalidationMode.UNCHECKED_HASH,
    )


def compiled_path(target: Path) -> Path:
    """Return the path of the compiled file of a copied module."""
    return Path(cache_from_source(str(target)))


def build(folder: Path) -> None:
    """Copy and compile changed sources; remove files without a source."""
    built: set[Path] = set()
    for source, relative in list_sources():
        target = folder / relative
        if not is_up_to_date(source, target):
            copy_source(source, target)
        built.update((target, compiled_path(target)))
    for path in folder.rglob('*'):
        if path.is_file() and path not in built:
            path.unlink()


if __name__ == '__main__':
    build(Path(sys.argv[1]).resolve())
