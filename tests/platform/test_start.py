"""What one start of a gateway loads.

VMs of the large deployments start hundreds of times a day on a share of a
core, and callers wait for each of them. What is loaded is counted in modules:
a figure in milliseconds would depend on the machine of the test.
"""

import ast
import os
import subprocess
import sys
import sysconfig
import tempfile
from collections.abc import Iterator, Mapping
from pathlib import Path
from types import MappingProxyType
from typing import ClassVar

import msgspec
import testtools

from scripts.build_binary import copy_distribution, find_distributions
from scripts.build_gateway import build, compiled_path

ROOT = Path(__file__).resolve().parent.parent.parent
# Without settings the process logs an error to standard output and ends, with
# everything loaded.
SCRIPT = """
import sys, serve
code = serve.main()
files = {
    name: getattr(module, '__file__', None) or ''
    for name, module in tuple(sys.modules.items())
}
import json
print(json.dumps([code, files]), file=sys.stderr)
"""
# Modules that a gateway does not use, with what brought them in.
UNUSED_MODULES = MappingProxyType({
    'asyncio.events': 'interfaces of pynng and structlog for asyncio',
    'ssl': 'asyncio, and gevent when it patches the standard library',
    'subprocess': 'asyncio, and gevent when it patches the standard library',
    'concurrent.futures': 'asyncio, and gevent when it patches',
    'gevent.monkey._patch_thread_common': 'gevent patches nothing: the gateway'
    ' calls gevent itself',
    'importlib.metadata': 'gevent looks for plugins at each module it patches',
    'importlib.resources': 'certifi, for TLS',
    'http.client': 'a WSGI server',
    'http.server': 'the HTTP servers of the metrics library',
    'email': 'http.client, importlib.metadata',
    'tomllib': 'settings of nodes',
    'pathlib': 'settings of nodes, importlib.resources',
})
# Libraries that a gateway uses, with those that they need.
LIBRARIES = MappingProxyType({
    '_cffi_backend': 'pynng',
    'cython_runtime': 'gevent',
    'gevent': 'event loop, sockets',
    'greenlet': 'gevent',
    'httptools': 'messages of callers and backend servers',
    'msgspec': 'JSON and MessagePack',
    'pynng': 'messages between VMs',
    'sniffio': 'pynng',
    'structlog': 'logs',
    'xxhash': 'order of the VMs for a program',
    'zope': 'gevent',
})
# Parts of the product that a gateway uses; the others are those of nodes.
PARTS = MappingProxyType({
    'core.gateway': 'decisions',
    'core.membership': 'the other VMs',
    'core.rendezvous': 'order of the VMs for a program',
    'core.retry_budget': 'repeated sends',
    'deferred_imports': 'asyncio',
    'exceptions': 'errors',
    'gateway': 'the process',
    'node.clock': 'the steady clock',
    'node.envelopes': 'messages between VMs',
    'node.message_sockets': 'messages between VMs',
    'node.peers': 'messages between VMs',
    'refusal_bodies': 'refusals',
    'telemetry.events': 'logs',
    'telemetry.exposition': 'metrics',
    'telemetry.instruments': 'metrics',
    'telemetry.logs': 'logs',
    'telemetry.output': 'logs',
})
# Calls of the standard library that stop all greenlets, as it is not patched.
BLOCKING_MODULES = frozenset((
    'concurrent',
    'queue',
    'select',
    'selectors',
    'subprocess',
    'threading',
))
BLOCKING_CALLS = frozenset((
    'os.system',
    'socket.create_connection',
    'socket.getaddrinfo',
    'socket.socket',
    'time.sleep',
))


def copy_libraries(folder: Path) -> None:
    """Copy the libraries that the build of the deploy file installs.

    Others of the tests' own environment are imported by some if they exist.
    """
    requirements = (ROOT / 'deploy' / 'requirements.txt').read_text()
    distributions = find_distributions(requirements.splitlines())
    for distribution in distributions.values():
        copy_distribution(distribution, folder)


def load_gateway(*folders: Path) -> tuple[int, Mapping[str, str]]:
    """Return the exit code and the files of all modules of a short start."""
    environment = {
        name: text
        for name, text in os.environ.items()
        if not name.startswith('BRONZEPOST')
    }
    path = os.pathsep.join(map(str, folders))
    done = subprocess.run(
        # As in deploy/system.toml.
        [sys.executable, '-S', '-c', SCRIPT],
        env={**environment, 'PYTHONPATH': path},
        capture_output=True,
        check=True,
    )
    code, files = msgspec.json.decode(
        done.stderr.splitlines()[-1], type=tuple[int, dict[str, str]]
    )
    return code, files


def list_calls(tree: ast.AST) -> Iterator[str]:
    """Return the calls of functions of modules, with the module's name."""
    for node in ast.walk(tree):
        if isinstance(node, ast.Call):
            yield ast.unparse(node.func)


def list_imports(tree: ast.AST) -> Iterator[str]:
    """Return what is imported, names of modules included."""
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module:
            yield node.module
            yield from (f'{node.module}.{alias.name}' for alias in node.names)


class StartTests(testtools.TestCase):
    """A start from the checkout."""

    code: ClassVar[int]
    files: ClassVar[Mapping[str, str]]
    own: ClassVar[list[str]]

    @classmethod
    def setUpClass(cls) -> None:
        """Load a gateway once, in a process of its own."""
        super().setUpClass()
        with tempfile.TemporaryDirectory() as folder:
            copy_libraries(Path(folder))
            code, files = load_gateway(ROOT / 'platform', Path(folder))
        cls.code = code
        cls.files = files
        cls.own = [name for name in files if name.startswith('bronzepost')]

    def test_the_whole_gateway_is_loaded(self) -> None:
        """Guard against a test that finds nothing as nothing was loaded."""
        self.assertEqual(1, self.code)
        self.assertIn('bronzepost._internal.gateway.process', self.own)

    def test_unused_modules_are_not_loaded(self) -> None:
        """Each start paid for interfaces that a gateway does not use."""
        self.assertEqual(
            {},
            {
                name: reason
                for name, reason in UNUSED_MODULES.items()
                if name in self.files
            },
        )

    def test_only_the_libraries_in_use_are_loaded(self) -> None:
        """Each start paid for the library that writes metrics as text."""
        known = {*sys.stdlib_module_names, *LIBRARIES, 'serve', '__main__'}
        found = {
            name.partition('.')[0]
            for name, file in self.files.items()
            if file and not name.startswith(('bronzepost', '_cython_'))
        }
        self.assertEqual(set(), found - known)

    def test_only_parts_of_a_gateway_are_loaded(self) -> None:
        """Each start paid for the web interface and settings of nodes."""
        prefix = 'bronzepost._internal.'
        allowed = tuple(f'{prefix}{part}.' for part in PARTS)
        packages = {f'{prefix}{part}'.rpartition('.')[0] for part in PARTS}
        self.assertEqual(
            [],
            [
                name
                for name in self.own
                if name.startswith(prefix)
                and name not in packages
                and not f'{name}.'.startswith(allowed)
            ],
        )

    def test_nothing_blocks_the_loop(self) -> None:
        """A call of the standard library would stop all requests of a VM."""
        for name in self.own:
            tree = ast.parse(Path(self.files[name]).read_text())
            imports = set(list_imports(tree))
            calls = imports.union(list_calls(tree)) & BLOCKING_CALLS
            packages = {entry.partition('.')[0] for entry in imports}
            self.assertEqual(set(), calls, name)
            self.assertEqual(set(), packages & BLOCKING_MODULES, name)


class BuildTests(testtools.TestCase):
    """A start from the folder that the build writes."""

    def setUp(self) -> None:
        """Build into an empty folder."""
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name).resolve()
        build(self.folder)

    def test_every_module_is_compiled(self) -> None:
        """Each start compiled the product again, as it may write nothing."""
        libraries = Path(sysconfig.get_path('purelib'))
        code, files = load_gateway(self.folder, libraries)
        paths = {
            Path(file)
            for name, file in files.items()
            if name.startswith('bronzepost')
        }
        self.assertEqual(1, code)
        self.assertEqual(
            [],
            [
                path
                for path in paths
                if not (
                    path.is_relative_to(self.folder)
                    and compiled_path(path).exists()
                )
            ],
        )

    def test_changes_are_built(self) -> None:
        """A start ran what was built before a change of the sources."""
        target = self.folder / 'serve.py'
        wanted = target.read_bytes()
        compiled = compiled_path(target).read_bytes()
        target.write_text('raise SystemExit\n')
        compiled_path(target).write_bytes(b'')
        removed = self.folder / 'bronzepost' / 'removed.py'
        removed.touch()
        build(self.folder)
        self.assertEqual(wanted, target.read_bytes())
        self.assertEqual(compiled, compiled_path(target).read_bytes())
        self.assertFalse(removed.exists())

    def test_unchanged_files_stay(self) -> None:
        """A file vanished while a process started from it."""
        paths = sorted(self.folder.rglob('*'))
        before = [path.stat().st_ino for path in paths]
        build(self.folder)
        self.assertEqual(before, [path.stat().st_ino for path in paths])
