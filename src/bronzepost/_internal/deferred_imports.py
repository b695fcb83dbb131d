"""Deferred imports: modules that are loaded when they are first used."""

import sys
from importlib.util import find_spec, module_from_spec
from typing import Any


def defer_import(name: str) -> None:
    """Load a top-level module when one of its attributes is first used.

    This saves loading a module that a library imports and the process does not
    use. A module that is already loaded is left as it is.
    ``importlib.util.LazyLoader`` is not used: in Python 3.11 it loads a module
    as soon as another module imports it.

    Raises:
        ModuleNotFoundError: if there is no such module.
    """
    if name in sys.modules:
        return
    spec = find_spec(name)
    if spec is None or spec.loader is None:
        raise ModuleNotFoundError(f'no module {name}', name=name)
    loader = spec.loader
    module = module_from_spec(spec)

    def load(attribute: str) -> Any:  # noqa: WPS430
        module.__dict__.pop('__getattr__')
        loader.exec_module(module)
        return getattr(module, attribute)

    # Called for attributes that the module does not have (PEP 562).
    module.__getattr__ = load  # type: ignore[method-assign]
    sys.modules[name] = module
