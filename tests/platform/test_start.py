"""Tests of the modules that a gateway loads at its start.

VMs of the large deployments start hundreds of times a day on a share of a
core, and callers wait for each of them. The tests check which modules are
loaded, since a time limit would depend on the machine.
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
# Without settings the process logs an error to standard output and ends, after
# it has loaded all its modules.
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
# Modules that a gateway does not use, with what would import them.
UNUSED_MODULES = MappingProxyType({
    'asyncio.events': 'interfaces of pynng and structlog for asyncio',
    'ssl': 'asyncio, and gevent when it patches the standard library',
    'subprocess': 'asyncio, and gevent when it patches the standard library',
    'concurrent.futures': 'asyncio, and gevent when it patches the standard'
    ' library',
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
# Libraries that a gateway uses, with their purpose or the library that needs
# them.
USED_LIBRARIES = MappingProxyType({
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
# Modules of the product that a gateway uses; only nodes use the others.
USED_MODULES = MappingProxyType({
    'core.gateway': 'decisions',
    'core.http_statuses': 'answers of servers',
    'core.membership': 'the other VMs',
    'core.rendezvous': 'order of the VMs for a program',
    'core.retry_budget': 'repeated sends',
    'deferred_imports': 'asyncio',
    'exceptions': 'errors',
    'gateway': 'the process',
    'node.clock': 'the steady clock',
    'node.envelopes': 'messages between VMs',
    'node.message_sockets': 'messages between VMs',
    'node.paced_reader': 'reads of all connections',
    'node.peers': 'messages between VMs',
    'refusal_bodies': 'refusals',
    'telemetry.events': 'logs',
    'telemetry.exposition': 'metrics',
    'telemetry.instruments': 'metrics',
    'telemetry.logs': 'logs',
    'telemetry.output': 'logs',
})
# Since the standard library is not patched, these block all greenlets.
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
    """Copy the libraries that ``deploy/requirements.txt`` installs.

    The environment of the tests has others, which some libraries import if
    they are present.
    """
    requirements = (ROOT / 'deploy' / 'requirements.txt').read_text()
    distributions = find_distributions(requirements.splitlines())
    for distribution in distributions.values():
        copy_distribution(distribution, folder)


def load_gateway(*folders: Path) -> tuple[int, Mapping[str, str]]:
    """Start a gateway without settings.

    Returns its exit code and the file of each module that it has loaded.
    """
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
    """Return the names of the functions called, as they are written."""
    for node in ast.walk(tree):
        if isinstance(node, ast.Call):
            yield ast.unparse(node.func)


def list_imports(tree: ast.AST) -> Iterator[str]:
    """Return the imported modules and names, with the module's name."""
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module:
            yield node.module
            yield from (f'{node.module}.{alias.name}' for alias in node.names)


class StartTests(testtools.TestCase):
    """A gateway that starts from the checkout."""

    code: ClassVar[int]
    files: ClassVar[Mapping[str, str]]
    own: ClassVar[list[str]]

    @classmethod
    def setUpClass(cls) -> None:
        """Start a gateway once for all tests, in a process of its own."""
        super().setUpClass()
        with tempfile.TemporaryDirectory() as folder:
            copy_libraries(Path(folder))
            code, files = load_gateway(ROOT / 'platform', Path(folder))
        cls.code = code
        cls.files = files
        cls.own = [name for name in files if name.startswith('bronzepost')]

    def test_gateway_is_loaded(self) -> None:
        """Guard against tests that pass because nothing was loaded."""
        self.assertEqual(1, self.code)
        self.assertIn('bronzepost._internal.gateway.process', self.own)

    def test_unused_modules_are_not_loaded(self) -> None:
        """Guard against start time spent on unused interfaces."""
        self.assertEqual(
            {},
            {
                name: reason
                for name, reason in UNUSED_MODULES.items()
                if name in self.files
            },
        )

    def test_only_used_libraries_are_loaded(self) -> None:
        """Guard against start time spent on unused libraries.

        The library that formats metrics was once loaded by each start.
        """
        known = {*sys.stdlib_module_names, *USED_LIBRARIES, 'serve', '__main__'}
        found = {
            name.partition('.')[0]
            for name, file in self.files.items()
            if file and not name.startswith(('bronzepost', '_cython_'))
        }
        self.assertEqual(set(), found - known)

    def test_only_used_modules_of_the_product_are_loaded(self) -> None:
        """Guard against start time spent on modules that only nodes use."""
        prefix = 'bronzepost._internal.'
        allowed = tuple(f'{prefix}{part}.' for part in USED_MODULES)
        packages = {
            f'{prefix}{part}'.rpartition('.')[0] for part in USED_MODULES
        }
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

    def test_no_call_blocks_the_event_loop(self) -> None:
        """Guard against library calls that block all requests of a VM."""
        for name in self.own:
            tree = ast.parse(Path(self.files[name]).read_text())
            imports = set(list_imports(tree))
            calls = imports.union(list_calls(tree)) & BLOCKING_CALLS
            packages = {entry.partition('.')[0] for entry in imports}
            self.assertEqual(set(), calls, name)
            self.assertEqual(set(), packages & BLOCKING_MODULES, name)


class BuildTests(testtools.TestCase):
    """A gateway that starts from the folder that the build writes."""

    def setUp(self) -> None:
        """Build into an empty folder."""
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name).resolve()
        build(self.folder)

    def test_every_module_is_compiled(self) -> None:
        """Guard against compilation at each start.

        A start may not write files, so it cannot keep what it compiles.
        """
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

    def test_changed_files_are_rebuilt(self) -> None:
        """Guard against a start from an outdated build."""
        target = self.folder / 'serve.py'
        expected = target.read_bytes()
        compiled = compiled_path(target).read_bytes()
        target.write_text('raise SystemExit\n')
        compiled_path(target).write_bytes(b'')
        removed = self.folder / 'bronzepost' / 'removed.py'
        removed.touch()
        build(self.folder)
        self.assertEqual(expected, target.read_bytes())
        self.assertEqual(compiled, compiled_path(target).read_bytes())
        self.assertFalse(removed.exists())

    def test_unchanged_files_are_not_replaced(self) -> None:
        """Guard against a file that is missing while a process starts."""
        paths = sorted(self.folder.rglob('*'))
        before = [path.stat().st_ino for path in paths]
        build(self.folder)
        self.assertEqual(before, [path.stat().st_ino for path in paths])
