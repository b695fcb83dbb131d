"""Parts of several messages between gateway processes."""

import msgspec

# Names of a request: a hash of its target and body, and one of its target alone.
Fingerprints = tuple[str, str]


class NamedLimit(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The limit of a backend server, in requests a second of all VMs.

    An answer of the server has named or, if ``is_ended``, no longer named it
    ``age_seconds`` ago.
    """

    rate: float
    age_seconds: float
    is_ended: bool = False


class BrokenRequest(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A request that broke off at a backend server ``age_seconds`` ago.

    ``fingerprints`` are those of the request and of its target, ``server`` names a
    start of the server, and ``weight`` is how likely the request is the cause,
    compared with others.
    """

    server: str
    fingerprints: Fingerprints
    weight: float
    age_seconds: float
