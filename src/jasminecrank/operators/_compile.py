"""Reading and writing of compiled documents on disk."""

from collections.abc import Mapping
import pathlib

from jasminecrank import exceptions
from jasminecrank import protocol
from jasminecrank import state
from jasminecrank.operators import _table_files


def read_compiled(
    directory: pathlib.Path,
) -> dict[state.DocumentName, state.Document]:
    """Return the compiled documents of a directory, without missing ones."""
    by_name: dict[state.DocumentName, state.Document] = {}
    for name in state.DocumentName:
        path = directory / f"{name.value}.json"
        try:
            payload = path.read_bytes()
        except FileNotFoundError:
            continue
        except OSError as error:
            raise exceptions.TableError(
                f"{path} cannot be read: {error.strerror}"
            ) from None
        by_name[name] = protocol.decode_published(name, payload)
    return by_name


def compile_table(
    files: _table_files.TableFiles, directory: pathlib.Path
) -> tuple[state.Document, ...]:
    """Write each changed document with the next version number.

    A document with unchanged rows keeps its version, so that compiling the
    same files twice produces identical bytes.
    """
    before = read_compiled(directory)
    numbers = {
        name: before[name].version.number if name in before else 0
        for name in state.DocumentName
    }
    written: list[state.Document] = []
    for document in files.documents(_next_numbers(numbers)):
        old = before.get(document.name)
        if old is not None and old.by_key == document.by_key:
            continue
        _write_document(directory, document)
        written.append(document)
    return tuple(written)


def _next_numbers(
    numbers: Mapping[state.DocumentName, int],
) -> dict[state.DocumentName, int]:
    return {name: number + 1 for name, number in numbers.items()}


def _write_document(directory: pathlib.Path, document: state.Document) -> None:
    try:
        directory.mkdir(parents=True, exist_ok=True)
        path = directory / f"{document.name.value}.json"
        path.write_bytes(protocol.encode_published(document))
    except OSError as error:
        raise exceptions.TableError(
            f"{directory} cannot be written: {error.strerror}"
        ) from None
