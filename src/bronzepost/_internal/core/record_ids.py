"""Identifiers of records on the log."""

import xxhash

_BOOT_DIGITS = 9
_COUNTER_DIGITS = 7
_COUNTER_LIMIT = 1 << (4 * _COUNTER_DIGITS)


def format_record_id(node: str, boot: int, counter: int) -> str:
    """Return 16 hex digits: 9 derived from node and boot, 7 of the counter.

    ``counter`` must not repeat within a boot, since readers drop a second
    record with the same identifier. Raises ``OverflowError`` after 268 million
    records of one boot, since the counter would repeat.
    """
    if not 0 <= counter < _COUNTER_LIMIT:
        raise OverflowError('no record ids are left in this boot: restart')
    digest = xxhash.xxh64_hexdigest(f'{node} {boot}'.encode())
    return f'{digest[:_BOOT_DIGITS]}{counter:0{_COUNTER_DIGITS}x}'
