"""The command ``serve``."""

import dataclasses
import importlib
from typing import TYPE_CHECKING, Annotated

import cappa

if TYPE_CHECKING:
    from bronzepost._internal.settings import Settings

SERVER_MODULE = 'bronzepost._internal.node.server'


@cappa.command(
    name='serve',
    help='Run a node.',
    description='Example: `bronzepost serve --settings node.toml`',
)
@dataclasses.dataclass(frozen=True, kw_only=True)
class ServeCommand:
    """Run a node until it is stopped."""

    settings: Annotated[
        str, cappa.Arg(long=True, value_name='FILE', help='Settings file.')
    ]

    def run(self) -> int:
        """Check the settings, then run the node; return its exit code."""
        # The settings classes are imported only by commands that use them.
        from bronzepost._internal.settings import (  # noqa: PLC0415
            load_settings,
        )

        def read_settings() -> 'Settings':  # noqa: WPS430
            return load_settings(self.settings)

        settings = read_settings()
        # Imported by name after the check, as it loads every module of a node.
        server = importlib.import_module(SERVER_MODULE)
        return int(server.serve(settings, read_settings))
