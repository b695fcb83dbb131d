"""The settings of the tree and the validation of their values."""

import dataclasses
import difflib
import functools
import types
from collections.abc import Mapping
from http import HTTPStatus

from bronzepost._internal.exceptions import RefusedError

SettingValue = bool | int | float | str | None

_STEP = 'check setting'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class IntegerSetting:
    """A setting with an integer value; the bounds are inclusive."""

    default: int
    minimum: int
    maximum: int
    description: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class NumberSetting:
    """A setting with a float or integer value; the bounds are inclusive."""

    default: float
    minimum: float
    maximum: float
    description: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SwitchSetting:
    """A setting that is on (true) or off (false)."""

    default: bool
    description: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ChoiceSetting:
    """A setting whose value is one of several strings."""

    default: str
    choices: tuple[str, ...]
    description: str


Setting = IntegerSetting | NumberSetting | SwitchSetting | ChoiceSetting

_MAX_UNITS = 1_000_000_000_000
_SECONDS_PER_DAY = 86_400.0
_DEFAULT_BUDGET = 1_000_000
_DEFAULT_DEADLINE_SECONDS = 300.0
# People who are asked for a decision may take an hour to answer.
_DEFAULT_IDLE_SECONDS = 7200.0
_MAX_BYTES_PER_TOKEN = 8
# The longest programs that the system is designed for have 400 turns.
_DEFAULT_TURN_LIMIT = 400
_MAX_TURN_LIMIT = 100_000
_DEFAULT_IMPORTANCE = 5
_MAX_IMPORTANCE = 10
_DEFAULT_SLOTS = 64
_MAX_SLOTS = 100_000
_DEFAULT_CACHE_WEIGHT = 0.5

SETTINGS_BY_NAME: Mapping[str, Setting] = types.MappingProxyType({
    'budget': IntegerSetting(
        default=_DEFAULT_BUDGET,
        minimum=0,
        maximum=_MAX_UNITS,
        description='units that a program may spend; one unit is one token',
    ),
    'importance': IntegerSetting(
        default=_DEFAULT_IMPORTANCE,
        minimum=1,
        maximum=_MAX_IMPORTANCE,
        description='divides attained service; higher values are served first',
    ),
    'turn_limit': IntegerSetting(
        default=_DEFAULT_TURN_LIMIT,
        minimum=1,
        maximum=_MAX_TURN_LIMIT,
        description='turns after which a program is ended',
    ),
    'deadline_seconds': NumberSetting(
        default=_DEFAULT_DEADLINE_SECONDS,
        minimum=0,
        maximum=_SECONDS_PER_DAY,
        description='seconds after which a call fails if it is not answered',
    ),
    'idle_seconds': NumberSetting(
        default=_DEFAULT_IDLE_SECONDS,
        minimum=1,
        maximum=_SECONDS_PER_DAY,
        description='seconds without a call after which a program is ended',
    ),
    'slots': IntegerSetting(
        default=_DEFAULT_SLOTS,
        minimum=0,
        maximum=_MAX_SLOTS,
        description='most programs in progress that are admitted at a time',
    ),
    'cache_weight': NumberSetting(
        default=_DEFAULT_CACHE_WEIGHT,
        minimum=0,
        maximum=1,
        description='weight of wasted cache relative to latency, 0 to 1',
    ),
    'policy': ChoiceSetting(
        default='program_aware',
        choices=(
            'program_aware',
            'round_robin',
            'least_outstanding',
            'sticky_fcfs',
        ),
        description='order of calls and choice of backend servers',
    ),
    'bytes_per_token': NumberSetting(
        default=1,
        minimum=1,
        maximum=_MAX_BYTES_PER_TOKEN,
        description='minimum bytes of prompt text per token of the model',
    ),
    'call_price': IntegerSetting(
        default=0,
        minimum=0,
        maximum=_MAX_UNITS,
        description='units that one call of a plain service costs',
    ),
    'non_idempotent': SwitchSetting(
        default=False,
        description='calls run at most once and are never retried',
    ),
})


def check_name(name: str) -> Setting:
    """Return the setting of that name.

    Raises ``RefusedError`` for an unknown one; the message has the known name
    that is most similar.
    """
    setting = SETTINGS_BY_NAME.get(name)
    if setting is None:
        nearest = difflib.get_close_matches(
            name, SETTINGS_BY_NAME, n=1, cutoff=0
        )
        raise RefusedError(
            f'no setting {name!r}: the nearest is {nearest[0]!r}',
            code='unknown_setting',
            status=HTTPStatus.BAD_REQUEST,
            step=_STEP,
            parameter='path',
        )
    return setting


def check_value(name: str, value: SettingValue) -> None:
    """Raise ``RefusedError`` for a value that the setting does not allow.

    ``None`` removes the setting at its level and is always allowed.
    """
    setting = check_name(name)
    problem = '' if value is None else find_problem(setting, value)
    if problem:
        raise RefusedError(
            f'{name} {problem}, not {value!r}',
            code='invalid_value',
            status=HTTPStatus.BAD_REQUEST,
            step=_STEP,
            parameter='value',
        )


@functools.singledispatch
def find_problem(setting: object, value: object) -> str:
    """Return what is wrong with a value; empty if it is valid."""
    raise TypeError(f'no check for {type(setting).__name__}')


@find_problem.register
def _(setting: IntegerSetting, value: object) -> str:
    # In Python a boolean is an integer too, but it is not a valid value here.
    is_whole = isinstance(value, int) and not isinstance(value, bool)
    return _check_range(setting, value, 'a whole number', is_whole)


@find_problem.register
def _(setting: NumberSetting, value: object) -> str:
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    return _check_range(setting, value, 'a number', is_number)


@find_problem.register
def _(setting: SwitchSetting, value: object) -> str:
    return '' if isinstance(value, bool) else 'must be true or false'


@find_problem.register
def _(setting: ChoiceSetting, value: object) -> str:
    if value in setting.choices:
        return ''
    return f'must be one of {", ".join(setting.choices)}'


def _check_range(
    setting: IntegerSetting | NumberSetting,
    value: object,
    kind: str,
    is_kind: bool,
) -> str:
    is_in_range = isinstance(value, int | float) and (
        setting.minimum <= value <= setting.maximum
    )
    if is_kind and is_in_range:
        return ''
    return f'must be {kind} from {setting.minimum} to {setting.maximum}'
