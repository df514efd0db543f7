"""Measure scenarios of a deployment, and compare with an earlier commit."""

from collections.abc import Iterator
import contextlib
import dataclasses
import json
import pathlib
import signal
import subprocess
import tempfile
import typing

import cyclopts

from jasminecrank.standins import _measures

ROOT = pathlib.Path(__file__).resolve().parent.parent
SCENARIOS = (
    "idle",
    "even",
    "data-centre-departure",
    "data-centre-return",
    "one-team-five-times",
    "one-host-callers",
    "one-node-latency",
    "source-outage",
    "bad-version",
    "node-kills",
    "partition",
)
app = cyclopts.App(help=__doc__, version_flags=())


@app.default
def measure(
    *,
    deployment: str = "kuopio",
    scenario: str | None = None,
    json_file: typing.Annotated[
        pathlib.Path | None, cyclopts.Parameter(name="--json")
    ] = None,
    compare: str | None = None,
) -> None:
    """Run one scenario or all and print one table for each.

    Parameters
    ----------
    deployment
        A directory of examples: kuopio or landesamt.
    scenario
        One of the names that the summary lists; all without it.
    json_file
        Also write the measures to this file.
    compare
        A commit whose nodes are measured side by side with these.
    """
    if scenario is not None and scenario not in SCENARIOS:
        raise SystemExit(
            f"--scenario: {scenario!r} is not one of {', '.join(SCENARIOS)}"
        )
    directory = ROOT / "examples" / deployment
    if not directory.is_dir():
        raise SystemExit(f"--deployment: {deployment!r} is not in examples")
    # Without this handler SIGTERM would leave the deployment running.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    names = (scenario,) if scenario else SCENARIOS
    written = []
    with earlier_commit(compare) as earlier:
        for name in names:
            columns = [("now", _measures.measure(directory, name, ""))]
            if earlier is not None and compare is not None:
                measured = _measures.measure(directory, name, earlier)
                columns.insert(0, (compare, measured))
            print(f"\n{deployment}, {name}")
            print("\n".join(_measures.format_table(columns)), flush=True)
            written += [
                {"commit": label, **dataclasses.asdict(one)}
                for label, one in columns
            ]
    if json_file is not None:
        json_file.write_text(json.dumps(written, indent=1) + "\n")


@contextlib.contextmanager
def earlier_commit(reference: str | None) -> Iterator[str | None]:
    """Check out a commit in a temporary work tree; yield its src path."""
    if reference is None:
        yield None
        return
    with tempfile.TemporaryDirectory() as directory:
        tree = pathlib.Path(directory) / "tree"
        git = ["git", "-C", str(ROOT), "worktree"]
        subprocess.run(
            [*git, "add", "--detach", "--quiet", str(tree), reference],
            check=True,
        )
        try:
            yield str(tree / "src")
        finally:
            subprocess.run([*git, "remove", "--force", str(tree)], check=True)


if __name__ == "__main__":
    app()
