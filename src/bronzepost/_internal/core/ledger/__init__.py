"""Program ledger: ownership, budgets and calls of one partition.

The state of a partition follows from the records of its stream in log order.
"""

from . import journal_events as events
from . import records
from .calls import (
    AnswerStored,
    AnswerUnknown,
    CallRequest,
    Decision,
    Proceed,
    Refuse,
    begin_call,
    find_call,
    grant_allowance,
    is_log_down,
)
from .journal import Journal, submit_record, withdraw_pending
from .journal_handler import handle_event
from .state import IntentEntry, OutcomeEntry, PartitionState, ProgramEntry

__all__ = [
    'AnswerStored',
    'AnswerUnknown',
    'CallRequest',
    'Decision',
    'IntentEntry',
    'Journal',
    'OutcomeEntry',
    'PartitionState',
    'Proceed',
    'ProgramEntry',
    'Refuse',
    'begin_call',
    'events',
    'find_call',
    'grant_allowance',
    'handle_event',
    'is_log_down',
    'records',
    'submit_record',
    'withdraw_pending',
]
