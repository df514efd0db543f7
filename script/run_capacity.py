"""Measure the slopes of documents, nodes, calls and changes."""

import dataclasses
import json
import pathlib
import signal
import typing

import cyclopts

from jasminecrank.standins import _capacity_page
from jasminecrank.standins import _document_slopes
from jasminecrank.standins import _node_slopes
from jasminecrank.standins import _slopes

app = cyclopts.App(help=__doc__, version_flags=())


@app.default
def capacity(
    *,
    json_file: typing.Annotated[
        pathlib.Path, cyclopts.Parameter(name="--json")
    ] = pathlib.Path("capacity.json"),
    page: pathlib.Path | None = None,
    from_json: pathlib.Path | None = None,
) -> None:
    """Print a table of slopes and write it as JSON.

    Parameters
    ----------
    json_file
        File to write the slopes to.
    page
        Also write the page that works the slopes out, docs/CAPACITY.md.
    from_json
        Take the slopes of an earlier run instead of measuring.
    """
    # Without this handler SIGTERM would leave the deployments running.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    if from_json is not None:
        slopes = [
            _slopes.Slope(**values)
            for values in json.loads(from_json.read_text())
        ]
    else:
        slopes = [*_document_slopes.measure(), *_node_slopes.measure()]
        values = [dataclasses.asdict(slope) for slope in slopes]
        json_file.write_text(json.dumps(values, indent=1) + "\n")
    print("\n".join(_slopes.format_slopes(slopes)))
    if page is not None:
        page.write_text("\n".join(_capacity_page.write_page(slopes)) + "\n")


if __name__ == "__main__":
    app()
