"""Parts of libraries that a serving node never uses, and does not load.

A node's processor time from its start to its first answer is what callers wait for after everything
was killed, and what is loaded is held until the end. uvicorn's package loads its command line and
what starts further processes, asyncio loads TLS, structlog thread-local contexts: a node uses none
of them. ``install`` puts a placeholder in their place before anything loads them. Using what a placeholder
doesn't have loads the real module.

Only the entry point of a node calls it: commands, tests and benches load the libraries whole.
"""

import importlib
import sys
from collections.abc import Callable
from types import ModuleType
from typing import Any

# Each with the functions that others take from it when they are loaded.
LATER = {
    "email.utils": ("formatdate",),
    "logging.config": ("dictConfig", "fileConfig"),
    "platform": ("system",),
    "structlog.threadlocal": (),
    "uvicorn.main": ("main", "run"),
}
# What a placeholder's module itself imports from another one.
ELSEWHERE = {("uvicorn.main", "Server"): "uvicorn.server"}
# What asyncio, anyio, uvicorn and prometheus-client name of TLS when they are loaded, or ask whether a
# socket is one of. Without TLS nothing is; whoever comes to use it takes ``ssl`` out of here.
TLS_ERRORS, TLS_CLASSES = ("SSLWantReadError", "SSLSyscallError"), ("SSLContext", "SSLSocket", "TLSVersion")
TLS_CONSTANTS = {"CERT_NONE": 0, "PROTOCOL_TLS_CLIENT": 16, "PROTOCOL_TLS_SERVER": 17}


class Placeholder(ModuleType):
    """Stands in for a module; what it doesn't have comes from the real one, which is loaded then."""

    def __getattr__(self, name: str) -> Any:
        """Return a name of the real module."""
        if name.startswith("__"):
            raise AttributeError(name)
        elsewhere = ELSEWHERE.get((self.__name__, name))
        return getattr(importlib.import_module(elsewhere) if elsewhere else _load(self.__name__), name)


def install() -> None:
    """Put placeholders in the place of modules that are not loaded yet."""
    for name, functions in LATER.items():
        if name not in sys.modules:
            placeholder = Placeholder(name)
            placeholder.__dict__.update({each: _later(name, each) for each in functions})
            sys.modules[name] = placeholder
            _set_in_package(placeholder)
    if "ssl" not in sys.modules:
        sys.modules["ssl"] = _tls_placeholder()
    _load_hashes_alone()


def _set_in_package(placeholder: Placeholder) -> None:
    """Make ``logging.config`` work after ``import logging.config``, as a real module does it."""
    package, _, name = placeholder.__name__.rpartition(".")
    if package in sys.stdlib_module_names:
        setattr(importlib.import_module(package), name, placeholder)


def _later(module: str, function: str) -> Callable[..., Any]:
    def call(*arguments: Any, **named: Any) -> Any:
        return getattr(_load(module), function)(*arguments, **named)

    return call


def _load(name: str) -> ModuleType:
    if isinstance(sys.modules.get(name), Placeholder):
        del sys.modules[name]
    return importlib.import_module(name)


def _load_hashes_alone() -> None:
    """Load ``hashlib`` with the interpreter's own hashes, not those of the TLS library."""
    if "hashlib" in sys.modules or "_hashlib" in sys.modules:
        return
    # An entry of None makes the import of that name fail, for which hashlib is prepared.
    sys.modules["_hashlib"] = None  # type: ignore[assignment]
    importlib.import_module("hashlib")
    del sys.modules["_hashlib"]


def _tls_placeholder() -> Placeholder:
    module = Placeholder("ssl")
    names: dict[str, Any] = {each: type(each, (OSError,), {}) for each in TLS_ERRORS}
    names |= {each: type(each, (), {}) for each in TLS_CLASSES}
    names |= TLS_CONSTANTS
    module.__dict__.update(names)
    return module
