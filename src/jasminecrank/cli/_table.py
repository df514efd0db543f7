"""Commands for the operators' table."""

import pathlib
import sys

import cyclopts

from jasminecrank import exceptions
from jasminecrank import operators
from jasminecrank import state

_EXIT_INVALID = 2

app = cyclopts.App(
    name="table", help="Check, compare and compile the operators' table."
)


@app.command
def check(
    directory: pathlib.Path,
    *,
    in_force: pathlib.Path | None = None,
    json: bool = False,
) -> int:
    """Check the table files of a directory before they are published.

    Status 2 if any is invalid, 1 if entries contradict each other or can never
    take effect. Differences alone keep status 0.

    Example: jasminecrank table check examples/kuopio --in-force compiled

    Parameters
    ----------
    directory
        Directory with the table files.
    in_force
        Directory with the compiled documents or the table files of the version
        in force, from which differences are reported.
    json
        Print one JSON object with the findings and the status.
    """
    files = operators.TableFiles.from_directory(directory)
    before = None if in_force is None else _read_documents(in_force)
    findings = operators.check_table(files, before)
    status = operators.exit_status(findings)
    if json:
        sys.stdout.write(f"{operators.format_findings(findings)}\n")
        return status
    for finding in findings:
        is_difference = finding.kind is operators.FindingKind.DIFFERENCE
        stream = sys.stdout if is_difference else sys.stderr
        stream.write(f"{finding}\n")
    if status == 0:
        sys.stdout.write(f"{directory}: valid\n")
    return status


def _read_documents(
    directory: pathlib.Path,
) -> dict[state.DocumentName, state.Document]:
    """Return the documents of a directory of either form.

    Raises TableError if it contains neither or an invalid table.
    """
    if not operators.is_table_directory(directory):
        compiled = operators.read_compiled(directory)
        if not compiled:
            raise exceptions.TableError(
                f"{directory} contains neither compiled documents nor table "
                "files"
            )
        return compiled
    files = operators.TableFiles.from_directory(directory)
    documents = files.documents(dict.fromkeys(state.DocumentName, 1))
    return {document.name: document for document in documents}


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
    files = operators.TableFiles.from_directory(directory)
    for problem in files.problems:
        sys.stderr.write(f"{problem}\n")
    if files.problems:
        return _EXIT_INVALID
    sys.stdout.write(f"{directory}: valid\n")
    for document in operators.compile_table(files, output):
        sys.stdout.write(f"{document.name.value} {document.version}\n")
    return 0
