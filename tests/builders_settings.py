"""Builders of settings files."""

NODE = """
[node]
name = "hall-a-1"
organisation = "kostiumy"
region = "pl-central"
availability_zone = "hall-a"
caller_address = "127.0.0.1:8001"
operator_address = "127.0.0.1:9001"
peer_address = "127.0.0.1:7001"
forward_address = "127.0.0.1:7101"
"""

PLATFORM = """
[platform]
log_address = "127.0.0.1:5001"
vm_list_address = "127.0.0.1:5002"
"""

KEYS = """
[peers]
seeds = ["127.0.0.2:7001"]
keys = ["peer-key"]

[operators]
keys = ["operator-key"]
"""

DISTANCES = """
[[distances]]
between = ["hall-a", "hall-b"]
milliseconds = 1

[[distances]]
between = ["hall-b", "hall-c"]
milliseconds = 1.5
"""


def build_settings_text(
    *, node: str = NODE, keys: str = KEYS, extra: str = DISTANCES
) -> str:
    """Return a settings file that is correct unless a part is replaced."""
    return node + PLATFORM + keys + extra
