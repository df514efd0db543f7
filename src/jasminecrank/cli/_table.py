"""Commands for the operators' table."""

import pathlib
import sys

import cyclopts

from jasminecrank import operators

_EXIT_INVALID = 2

app = cyclopts.App(
    name="table", help="Check, compare and compile the operators' table."
)


@app.command
def check(directory: pathlib.Path) -> int:
    """Check the table files of a directory; status 2 if any is invalid.

    Example: jasminecrank table check examples/kuopio
    """
    files = operators.TableFiles.from_directory(directory)
    for problem in files.problems:
        sys.stderr.write(f"{problem}\n")
    if files.problems:
        return _EXIT_INVALID
    sys.stdout.write(f"{directory}: valid\n")
    return 0


@app.command
def diff(before: pathlib.Path, after: pathlib.Path) -> int:
    """Print the rows that differ between two compiled directories.

    Example: jasminecrank table diff compiled-before compiled
    """
    lines = operators.diff_documents(
        operators.read_compiled(before), operators.read_compiled(after)
    )
    for line in lines:
        sys.stdout.write(f"{line}\n")
    return 0


@app.command(name="compile")
def compile_(directory: pathlib.Path, output: pathlib.Path) -> int:
    """Compile table files into the documents that the platform publishes.

    Only documents with changed rows are written, with the next version number.

    Example: jasminecrank table compile examples/kuopio compiled
    """
    if check(directory) != 0:
        return _EXIT_INVALID
    files = operators.TableFiles.from_directory(directory)
    for document in operators.compile_table(files, output):
        sys.stdout.write(f"{document.name.value} {document.version}\n")
    return 0
