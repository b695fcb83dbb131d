"""Test data of workspaces: keys, configurations and where newer ones are."""

from collections.abc import Callable, Iterable
from typing import Any

from bronzepost._internal.core.gateway.entities import (
    CallerLimits,
    GatewayConfiguration,
    Workspace,
)
from bronzepost._internal.core.gateway.workspaces import digest_key
from tests.builders_gateway import make_route


def make_workspace(
    name: str = 'tarn', keys: Iterable[str] = (), **changes: Any
) -> Workspace:
    """Return a workspace with keys, by default one that is named after it."""
    fields: dict[str, Any] = {
        'name': name,
        'key_digests': tuple(
            digest_key(key.encode()) for key in keys or (f'{name}-key',)
        ),
    }
    return Workspace(**{**fields, **changes})


def make_keyed_configuration(
    *workspaces: Workspace, **changes: Any
) -> GatewayConfiguration:
    """Return a configuration with one route, by default two workspaces."""
    fields: dict[str, Any] = {
        'version': 1,
        'routes': (make_route(),),
        'services_by_name': {},
        'limits': CallerLimits(),
        'workspaces': workspaces
        or (make_workspace('tarn'), make_workspace('fell')),
    }
    return GatewayConfiguration(**{**fields, **changes})


class ScriptedSource:
    """A source of configurations that a test scripts.

    ``fetch`` is called when a request waits for a newer configuration.
    """

    def __init__(self) -> None:
        """Start without a newer configuration."""
        self.may_lag = False
        self.fetches = 0
        self.fetch: Callable[[], None] | None = None

    def catch_up(self) -> None:
        """Count the call and run the script."""
        self.fetches += 1
        if self.fetch is not None:
            self.fetch()
