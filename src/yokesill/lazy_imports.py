"""Defers the import of library modules that a serving node never uses.

After all nodes were killed, callers wait for the CPU time that a node takes from its start to its first
answer, and loaded modules take memory until the process ends. uvicorn's package loads its command line and
its process supervisors, asyncio loads TLS, and structlog loads thread-local contexts: a node uses none of
them. ``install`` registers placeholders for these modules before anything imports them. Access to a name that
a placeholder lacks loads the real module.

Only the entry point of a node calls ``install``: commands, tests and benchmarks load the libraries whole.
"""

import importlib
import sys
from collections.abc import Callable
from types import ModuleType
from typing import Any

# Deferred modules, each with the functions that other modules import from it at load time.
DEFERRED_MODULES = {
    "email.utils": ("formatdate",),
    "logging.config": ("dictConfig", "fileConfig"),
    "platform": ("system",),
    "structlog.threadlocal": (),
    "uvicorn.main": ("main", "run"),
}
# Names that a deferred module itself imports from another module.
REEXPORTED_FROM = {("uvicorn.main", "Server"): "uvicorn.server"}
# Names of ``ssl`` that asyncio, anyio, uvicorn and prometheus-client use at load time or in type checks of
# sockets. Without TLS no such check is true; code that starts to use TLS must remove this placeholder.
TLS_ERRORS, TLS_CLASSES = ("SSLWantReadError", "SSLSyscallError"), ("SSLContext", "SSLSocket", "TLSVersion")
TLS_CONSTANTS = {"CERT_NONE": 0, "PROTOCOL_TLS_CLIENT": 16, "PROTOCOL_TLS_SERVER": 17}


class Placeholder(ModuleType):
    """Stands in for a module, and loads the real module on access to a name that it lacks."""

    def __getattr__(self, name: str) -> Any:
        """Return an attribute of the real module."""
        if name.startswith("__"):
            raise AttributeError(name)
        origin = REEXPORTED_FROM.get((self.__name__, name))
        return getattr(importlib.import_module(origin) if origin else _load(self.__name__), name)


def install() -> None:
    """Register placeholders for the deferred modules that are not loaded yet."""
    for name, functions in DEFERRED_MODULES.items():
        if name not in sys.modules:
            placeholder = Placeholder(name)
            placeholder.__dict__.update({each: _deferred_function(name, each) for each in functions})
            sys.modules[name] = placeholder
            _set_in_package(placeholder)
    if "ssl" not in sys.modules:
        sys.modules["ssl"] = _tls_placeholder()
    _load_hashlib_without_openssl()


def _set_in_package(placeholder: Placeholder) -> None:
    """Set a submodule as an attribute of its package, as the import of ``logging.config`` does."""
    package, _, name = placeholder.__name__.rpartition(".")
    if package in sys.stdlib_module_names:
        setattr(importlib.import_module(package), name, placeholder)


def _deferred_function(module: str, function: str) -> Callable[..., Any]:
    def call(*arguments: Any, **named: Any) -> Any:
        return getattr(_load(module), function)(*arguments, **named)

    return call


def _load(name: str) -> ModuleType:
    if isinstance(sys.modules.get(name), Placeholder):
        del sys.modules[name]
    return importlib.import_module(name)


def _load_hashlib_without_openssl() -> None:
    """Load ``hashlib`` with the interpreter's built-in hashes instead of OpenSSL's."""
    if "hashlib" in sys.modules or "_hashlib" in sys.modules:
        return
    # An entry of None makes the import of that name fail; hashlib then uses the built-in hashes.
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
