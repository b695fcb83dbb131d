"""Functions shared by the commands that use the operator port."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TYPE_CHECKING

from bronzepost._internal.cli.exit_codes import ExitCode
from bronzepost._internal.cli.options import OperatorOptions
from bronzepost._internal.cli.rendering import print_answer

if TYPE_CHECKING:
    from bronzepost._internal.cli.client import NodeClient


def open_client(options: OperatorOptions) -> NodeClient:
    """Return a client for the operator port of a node."""
    # The HTTP client is imported only by the commands that talk to a node.
    from bronzepost._internal.cli.client import NodeClient  # noqa: PLC0415

    return NodeClient(address=options.address, key=options.key)


def print_resource(
    options: OperatorOptions,
    resource: str,
    /,
    *,
    columns: Sequence[str] = (),
    **query: str,
) -> int:
    """Print the answer to a GET request; return the exit code."""
    answer = open_client(options).get(resource, **query)
    print_answer(answer, as_json=options.as_json, columns=columns)
    return ExitCode.OK
