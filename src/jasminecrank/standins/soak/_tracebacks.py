"""Collects the soak's own errors and the tracebacks in nodes' logs."""

import asyncio
from collections.abc import Iterator
import contextlib
import gc
import pathlib
import sys
import typing
import warnings

TRACEBACK_START = "Traceback (most recent call last):"
OUTLIVED_STREAM_WARNING = "loop is closed"


def handle_loop_errors(errors: list[str]) -> None:
    """Add errors of tasks and callbacks of the running loop to a list."""

    def handle(
        loop: asyncio.AbstractEventLoop, context: dict[str, typing.Any]
    ) -> None:
        errors.append(
            f"the soak itself: {context['message']}: "
            f"{context.get('exception')!r}"
        )
        loop.default_exception_handler(context)

    asyncio.get_running_loop().set_exception_handler(handle)


@contextlib.contextmanager
def collect_unraisable(errors: list[str]) -> Iterator[None]:
    """Add errors in finalizers inside the block to a list.

    A stream that outlives its loop raises an error in its finalizer, or, in
    newer releases of Python, leaves a warning.
    """
    previous = sys.unraisablehook

    def handle(unraisable: "sys.UnraisableHookArgs") -> None:
        errors.append(
            f"the soak itself: {unraisable.object!r}: {unraisable.exc_value!r}"
        )
        previous(unraisable)

    sys.unraisablehook = handle
    try:
        with _collect_warnings(errors):
            yield
            gc.collect()
    finally:
        sys.unraisablehook = previous


@contextlib.contextmanager
def _collect_warnings(errors: list[str]) -> Iterator[None]:
    """Add warnings about streams without a loop to a list."""
    with warnings.catch_warnings():
        show = warnings.showwarning

        def handle(
            message: Warning | str,
            category: type[Warning],
            filename: str,
            lineno: int,
            file: typing.TextIO | None = None,
            line: str | None = None,
        ) -> None:
            if category is ResourceWarning:
                errors.append(f"the soak itself: {message}")
            show(message, category, filename, lineno, file, line)

        warnings.showwarning = handle
        warnings.filterwarnings(
            "always", OUTLIVED_STREAM_WARNING, ResourceWarning
        )
        yield


def read_tracebacks(path: pathlib.Path) -> Iterator[str]:
    """Yield the last line of each traceback in a log."""
    inside = False
    for line in path.read_text(errors="replace").splitlines():
        if line.startswith(TRACEBACK_START):
            inside = True
        elif inside and line and not line.startswith((" ", "{")):
            inside = False
            yield line
