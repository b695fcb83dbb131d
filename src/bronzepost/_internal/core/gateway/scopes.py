"""Ids of programs, turns and streams that belong to one workspace.

Callers choose these ids, and callers of two workspaces may choose the same one.
"""

import hashlib
from typing import Final

# Header values cannot contain this character (RFC 9110, section 5.5), so no caller
# can send an id that has a scope.
SEPARATOR: Final = '\x1f'
# A scope has 64 bits: among thousands of workspaces no two have the same one. Keys of
# the store are limited to 255 bytes, and names are not.
_SCOPE_BYTES: Final = 8


def scope_id(workspace: str, identifier: str) -> str:
    """Return an id that differs from those of other workspaces.

    Without a workspace, or without an id, nothing changes.

    >>> scope_id('', 'p-1')
    'p-1'
    >>> scope_id('tarn', 'p-1') == scope_id('fell', 'p-1')
    False
    """
    if not (workspace and identifier):
        return identifier
    digest = hashlib.blake2b(workspace.encode(), digest_size=_SCOPE_BYTES)
    return f'{digest.hexdigest()}{SEPARATOR}{identifier}'
