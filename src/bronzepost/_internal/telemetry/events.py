"""Catalogue of the numbered log events.

A number never changes, and that of a removed event is never reused, so that
searches and alarms keep working when names or texts change. Add an event with
the next free number of its area, then run ``scripts/write_references.py``.
"""

import enum

AREA_SIZE = 1000


class Area(enum.IntEnum):
    """Part of the system that an event is about, with its first number."""

    PROCESS = 1000
    LEDGER = 2000
    MEMBERSHIP = 3000
    CONFIGURATION = 4000
    BACKEND_SERVERS = 5000
    CALLERS = 6000
    OPERATORS = 7000
    GATEWAY = 8000


class Level(enum.StrEnum):
    """Severity: a warning may need action by an operator, an error does."""

    DEBUG = 'debug'
    INFO = 'info'
    WARNING = 'warning'
    ERROR = 'error'


DEBUG = Level.DEBUG
INFO = Level.INFO
WARNING = Level.WARNING
ERROR = Level.ERROR


class LogEvent(enum.Enum):
    """Every event that a node logs: number, level and description."""

    # Process
    NODE_STARTED = 1001, INFO, 'The node listens on all its addresses.'
    NODE_STOPPED = 1002, INFO, 'The node has stopped.'
    SETTINGS_LOADED = 1003, INFO, 'The settings file was read.'
    SIGNAL_RECEIVED = 1004, INFO, 'A signal asks the node to stop.'
    DRAIN_STARTED = 1005, INFO, 'The node drains: it accepts no new programs.'
    DRAIN_FINISHED = 1006, INFO, 'A drain has ended or reached its time limit.'
    LISTEN_FAILED = 1007, ERROR, 'An address of the node cannot be bound.'
    GREENLET_FAILED = 1008, ERROR, 'A greenlet ended with an unexpected error.'
    TICK_LATE = (
        1009,
        WARNING,
        'A tick ran late: the event loop was busy or paused.',
    )
    NODE_PAUSED = 1010, WARNING, 'The process was paused for a time.'

    KEYS_REPLACED = 1011, INFO, 'The keys of the settings file are in force.'
    KEYS_REFUSED = 1012, ERROR, 'The settings file is wrong; old keys stay.'

    # Ledger
    PARTITION_CLAIMED = 2002, INFO, 'A claim of this node is in force.'
    PARTITION_GIVEN_UP = (
        2004,
        WARNING,
        'Another node has claimed the partition.',
    )
    PARTITION_HANDED_OVER = (
        2005,
        INFO,
        'A partition was handed to its next owner.',
    )
    CHECKPOINT_APPENDED = 2007, DEBUG, 'An index of live programs was appended.'
    HISTORY_REAPPENDED = (
        2008,
        INFO,
        'A history was appended again to retain it.',
    )
    APPEND_RETRIED = 2009, WARNING, 'An append failed and is sent again.'
    APPEND_AMBIGUOUS = (
        2010,
        WARNING,
        'An append had no answer; the log is read to find out.',
    )
    LOG_OUTAGE_STARTED = 2011, ERROR, 'The log service does not answer.'
    LOG_OUTAGE_ENDED = 2012, INFO, 'The log service answers again.'
    LOG_RATE_LIMITED = 2013, WARNING, 'The log service limits the append rate.'
    RECORD_INVALID = 2014, WARNING, 'The epoch of a record is not in force.'
    RECORD_UNREADABLE = 2016, ERROR, 'A record on the log cannot be decoded.'
    RECORDS_MIRRORED = 2017, INFO, 'Records wait in memory and on a mirror.'
    MIRROR_FAILED = (
        2018,
        WARNING,
        'No other node has a copy of the waiting records.',
    )
    MIRROR_ADOPTED = 2019, INFO, 'Mirrored records of a dead node are appended.'
    PENDING_FULL = 2020, ERROR, 'The records waiting for the log fill memory.'
    INTENT_UNKNOWN = (
        2021,
        WARNING,
        'The outcome of a non-idempotent call is unknown.',
    )
    INTENT_WITHDRAWN = 2022, INFO, 'A non-idempotent call was not sent.'
    HISTORY_MISMATCH = 2023, WARNING, 'A call does not fit its history digest.'
    RETENTION_GAP = 2024, ERROR, 'The log has dropped records still in use.'
    PROGRAM_STARTED = 2025, DEBUG, 'A program has started.'
    PROGRAM_ENDED = 2026, DEBUG, 'A program has ended.'

    # Membership
    MEMBER_JOINED = 3001, INFO, 'A node has joined.'
    MEMBER_SUSPECTED = 3002, WARNING, 'A node did not answer its probes.'
    MEMBER_REFUTED = 3003, INFO, 'A suspected node is alive.'
    MEMBER_DEAD = 3004, WARNING, 'A suspected node is considered dead.'
    MEMBER_LEAVING = 3005, INFO, 'A node is leaving.'
    SELF_SUSPECTED = 3006, WARNING, 'Other nodes suspect this one.'
    SEEDS_UNREACHABLE = 3007, WARNING, 'No seed answers; check the peers table.'
    PEER_REJECTED = 3008, WARNING, 'A peer message has no valid key.'
    PEER_SOCKET_REOPENED = 3010, INFO, 'A silent peer socket was replaced.'
    PEER_MESSAGE_DROPPED = 3011, WARNING, 'A peer message could not be decoded.'

    # Configuration
    CONFIGURATION_READY = 4001, INFO, 'The node has a configuration.'
    CHANGE_ACCEPTED = 4002, INFO, 'A configuration change is in force.'
    CHANGE_REJECTED = 4003, INFO, 'A change was based on an old revision.'
    SNAPSHOT_APPENDED = 4005, INFO, 'The whole configuration was appended.'

    # Backend servers
    RUNNER_FOUND = 5001, INFO, 'A backend server is on the VM list.'
    RUNNER_LEAVING = 5002, INFO, 'A backend server is leaving: no new work.'
    RUNNER_UNREACHABLE = 5004, WARNING, 'A backend server does not answer.'
    CALL_RETRIED = 5006, INFO, 'An idempotent call went to another server.'
    RETRY_BUDGET_SPENT = 5007, WARNING, 'No retry: too many calls have failed.'
    STREAM_SILENT = 5008, WARNING, 'A stream went silent; it is resumed.'
    STREAM_RESUMED = 5009, INFO, 'A stream continues at its offset.'
    ANSWER_MISMATCHED = 5010, ERROR, 'A chunk belongs to another request.'
    CACHE_EVENTS_MISSED = 5011, INFO, 'Cache events have a gap.'
    SESSION_RELEASED = (
        5012,
        DEBUG,
        'An engine released the session of a program.',
    )
    SESSION_NOT_RELEASED = 5013, WARNING, 'An engine did not release a session.'
    CANCEL_FAILED = 5020, WARNING, 'An engine did not cancel a call.'
    VM_LIST_UNAVAILABLE = (
        5018,
        WARNING,
        'No new VM list; the last one stays in use.',
    )
    VM_LIST_RECOVERED = 5019, INFO, 'The VM list answers again.'

    # Callers
    CALL_ANSWERED = 6001, DEBUG, 'A call was answered.'
    CALL_REFUSED = 6002, INFO, 'A call was refused; see its code and run.'
    CALL_FORWARDED = 6003, DEBUG, 'A call went to the owner of its program.'
    FORWARD_FAILED = 6004, WARNING, 'The owner of a program does not answer.'
    ANSWER_NOT_DURABLE = (
        6005,
        WARNING,
        'An answer was sent before its record was stored.',
    )
    CALLER_DISCONNECTED = (
        6006,
        INFO,
        'A caller disconnected before the answer ended.',
    )
    DEADLINE_PASSED = 6007, INFO, 'A call ended at its deadline.'

    # Operators
    OPERATOR_REJECTED = 7001, WARNING, 'An operator request has no valid key.'
    CHANGE_PROPOSED = 7002, INFO, 'An operator proposes a change.'
    DRAIN_REQUESTED = 7003, INFO, 'An operator drains the node.'

    # Gateway
    REQUEST_UNREADABLE = 8001, INFO, 'A request is not HTTP, or too large.'
    REQUEST_DONE = 8002, INFO, 'A request has ended; see its outcome.'
    REQUEST_REFUSED = 8003, INFO, 'The gateway refused a request.'
    REQUEST_NOT_RUN = 8004, INFO, 'A backend server did not accept a request.'
    EXCHANGE_BROKEN = 8005, WARNING, 'A backend server broke off an answer.'
    STREAM_CONTINUED = (
        8006,
        INFO,
        'A broken stream continues on another server.',
    )
    ROUTES_IN_FORCE = 8007, INFO, 'A version of the routes is in force.'
    ROUTES_REFUSED = 8008, ERROR, 'Published routes cannot be read.'
    SERVER_UP = 8009, INFO, 'A backend server may be used.'
    SERVER_LEAVING = 8010, INFO, 'A backend server gets no new requests.'
    SERVER_GONE = 8011, INFO, 'A backend server has left the registry.'
    SERVER_KEPT = (
        8080,
        INFO,
        'A server whose entry is missing stays in use after an outage.',
    )
    SERVERS_COPIED = 8081, INFO, 'Another list of servers came from another VM.'
    SERVER_ENTRY_UNREADABLE = 8012, WARNING, 'A registry entry cannot be read.'
    STORE_LOST = 8013, WARNING, 'The store does not answer this VM.'
    STORE_REGAINED = 8014, INFO, 'The store answers again.'
    SETTINGS_RELOADED = 8015, INFO, 'Changed settings are in force.'
    SETTINGS_REFUSED = (
        8016,
        ERROR,
        'Changed settings are wrong; the old ones stay.',
    )
    ALLOWANCE_NOT_STORED = 8017, WARNING, 'Allowances could not be stored.'
    ALLOWANCE_REREAD = (
        8018,
        INFO,
        'Allowances are read again after a failed append.',
    )
    ALLOWANCE_PROVISIONAL = (
        8019,
        INFO,
        'An allowance was granted without the store.',
    )
    HOME_SILENT = 8020, WARNING, 'The home of a program did not answer.'
    TURN_NOT_STORED = 8021, WARNING, 'A turn could not be stored yet.'
    TURN_NOT_DURABLE = 8022, WARNING, 'A turn was not stored in time.'
    ACCOUNTS_ADOPTED = 8024, INFO, 'This VM has become the home of programs.'
    ACCOUNTS_HANDED_OVER = (
        8025,
        INFO,
        'Another VM has become the home of programs.',
    )
    REQUEST_HEDGED = (
        8027,
        INFO,
        'A slow request was also sent to a second server.',
    )
    LOGS_LEFT_OUT = (
        8028,
        WARNING,
        'Log lines were left out to limit their volume.',
    )
    TURN_NOT_READ = (
        8029,
        WARNING,
        'Stored turns could not be read.',
    )
    TURNS_LOST = (
        8084,
        INFO,
        'Admitted turns ended with the VMs that served them; nothing is spent.',
    )
    TURN_NOT_SETTLED = (
        8085,
        WARNING,
        'No home has confirmed what a turn has generated.',
    )
    MEMBER_LIST_FAILED = (
        8083,
        INFO,
        'The list of VMs in the store could not be written or read.',
    )
    CLAIMS_READ = (
        8082,
        INFO,
        'Claims on budgets from before the start of this VM were read.',
    )
    ALLOWANCE_REFUSED = 8030, INFO, 'The home cannot grant tokens at present.'
    BUDGET_SPENT = 8031, INFO, 'A budget is too small for another turn.'
    SERVER_LIMITED = (
        8032,
        INFO,
        'A backend server limits its requests a second.',
    )
    SERVER_LIMIT_ENDED = (
        8033,
        INFO,
        'A backend server no longer names a limit.',
    )
    SERVER_LIMIT_UNREADABLE = (
        8034,
        WARNING,
        'The limit of a backend server is not a number.',
    )
    PERMIT_OWNER_SILENT = (
        8035,
        WARNING,
        "The owner of a server's limit did not answer.",
    )
    REQUEST_DEADLY = (
        8036,
        WARNING,
        'A request crashes backend servers and is refused.',
    )
    LINK_LOST = 8037, WARNING, 'No connection to a backend server opens.'
    LINK_REGAINED = 8038, INFO, 'Connections to a backend server open again.'
    LINKS_LOST = (
        8039,
        WARNING,
        'This VM hears from no backend server any more.',
    )
    LINKS_REGAINED = 8040, INFO, 'This VM hears from backend servers again.'
    REQUEST_SUSPECT = (
        8041,
        INFO,
        'A request that broke off at a server may not run now.',
    )
    TUNNEL_OPENED = 8042, INFO, 'Another VM relays a request to its server.'
    TUNNEL_REFUSED = 8043, WARNING, 'A VM did not open a tunnel to a server.'
    TUNNEL_REJECTED = (
        8044,
        WARNING,
        'The relay was asked from an address that is no VM of the fleet.',
    )
    TUNNEL_BROKEN = 8045, INFO, 'A tunnel ended before it was open.'
    SERVER_HISTORY_READ = (
        8068,
        INFO,
        'Old entries of backend servers were read for their versions.',
    )
    PEER_KIND_UNKNOWN = (
        8069,
        WARNING,
        'A VM of another build sends messages that this one does not know.',
    )
    KEY_REFUSED = 8046, INFO, 'A request was refused for its key.'
    REFUSAL_UNCERTAIN = (
        8047,
        INFO,
        'A newer configuration may allow what this VM cannot serve.',
    )
    SNAPSHOT_REFUSED = (
        8048,
        WARNING,
        'The routes of a VM that knows no workspaces were not taken.',
    )
    WORKSPACE_UNUSABLE = (
        8049,
        WARNING,
        'The name of a workspace cannot be sent; its keys are refused.',
    )
    STICKINESS_BEGAN = (
        8071,
        INFO,
        'Requests of a route go to servers that have seen their subject.',
    )
    STICKINESS_ENDED = (
        8072,
        INFO,
        'Warm servers are no faster; a route is served without regard to them.',
    )
    MEMORY_SHORT = (
        8076,
        WARNING,
        'This VM holds so much for others that it refuses requests.',
    )
    MEMORY_REGAINED = 8077, INFO, 'This VM refuses fewer requests or none.'
    BODY_REFUSED = 8078, INFO, 'A large body was refused before it was read.'
    ENGINE_TOO_SMALL = (
        8079,
        INFO,
        'A request needs more memory than one engine of its service has.',
    )
    ENGINE_SLOW = 8063, WARNING, 'An engine streams more slowly than others.'
    ENGINE_RECOVERED = 8064, INFO, 'An engine streams as fast as others again.'
    STORE_WRITES_HELD = (
        8057,
        WARNING,
        'Writes wait: the store refuses this VM or does not answer it.',
    )
    STORE_WRITES_CAUGHT_UP = (
        8058,
        INFO,
        'What waited for the store has been written.',
    )
    QUOTA_OWNER_SILENT = (
        8050,
        WARNING,
        'The VM that decides on a quota does not answer.',
    )
    QUOTAS_OWNED = 8051, INFO, 'This VM decides on the quotas of partitions.'
    QUOTAS_GIVEN_UP = (
        8052,
        INFO,
        'Another VM decides on the quotas of partitions.',
    )
    QUOTA_SHARE_PAUSED = (
        8053,
        INFO,
        'This VM uses no share of the quotas until it knows the other VMs.',
    )
    QUOTA_EXCEEDED = (
        8054,
        INFO,
        'A workspace began to ask for more than its quota.',
    )
    SNAPSHOT_TAKEN = (
        8026,
        INFO,
        'Routes and servers were copied from another VM.',
    )
    TURN_NOT_FOUND = 8023, WARNING, 'A turn to continue from was not found.'

    def __init__(self, number: int, level: Level, description: str) -> None:
        """Set the attributes from the value of a member."""
        self.number = number
        self.level = level
        self.description = description

    @property
    def area(self) -> Area:
        """Return the area that the number belongs to."""
        return Area(self.number - self.number % AREA_SIZE)

    @property
    def event_name(self) -> str:
        """Return the name that a log line has."""
        return self.name.lower()
