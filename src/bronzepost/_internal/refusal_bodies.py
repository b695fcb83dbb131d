"""The JSON body of a refusal, the same for nodes and gateways."""

import msgspec

from bronzepost._internal.exceptions import RefusedError


def encode_refusal(error: RefusedError) -> bytes:
    """Return the body; its message includes the failed step and the peer."""
    body = {
        'message': str(error),
        'type': 'refused',
        'code': error.code,
        'run': error.run.value,
        'step': error.step,
        'peer': error.peer,
        'param': error.parameter or None,
    }
    return msgspec.json.encode({'error': body})
