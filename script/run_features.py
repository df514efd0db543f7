"""Run the behave features and count the scenarios.

Scenarios listed in KNOWN-RED.txt may fail; they are printed and do not
affect the exit status. A listed scenario that passes fails the run, so that
the list stays up to date.
"""

import json
import pathlib
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parent.parent
MAX_FAILURE_CHARACTERS = 4000


def known_red() -> set[str]:
    """Return the scenario names listed in KNOWN-RED.txt."""
    path = ROOT / "KNOWN-RED.txt"
    if not path.exists():
        return set()
    prefix = "scenario: "
    return {
        line.removeprefix(prefix).strip()
        for line in path.read_text().splitlines()
        if line.startswith(prefix)
    }


def run(arguments: list[str]) -> list[tuple[str, list[str]]]:
    """Run behave; return the name and the failures of each scenario."""
    with tempfile.TemporaryDirectory() as directory:
        report = pathlib.Path(directory) / "report.json"
        command = [
            sys.executable,
            "-m",
            "behave",
            "--no-capture",
            "--format=progress",
            "--outfile=/dev/stdout",
            "--format=json",
            f"--outfile={report}",
            *(arguments or ["features"]),
        ]
        subprocess.run(command, cwd=ROOT, check=False)
        features = json.loads(report.read_text() or "[]")
    return [
        (f"{feature['name']}: {element['name'].strip()}", failures(element))
        for feature in features
        for element in feature["elements"]
        if element["type"] == "scenario"
    ]


def failures(element: dict) -> list[str]:
    """Return a line for each step of a scenario that did not pass."""
    if not element["steps"]:
        return ["no steps"]
    lines = []
    for step in element["steps"]:
        result = step.get("result", {"status": "not run"})
        if result["status"] != "passed":
            message = result.get("error_message", "")
            if not isinstance(message, str):
                message = "\n".join(message)
            lines.append(f"{step['name']}: {result['status']}: {message}")
    return lines


def main() -> int:
    """Print the counts and return the exit status."""
    results = run(sys.argv[1:])
    red = known_red()
    failed = [(name, lines) for name, lines in results if lines]
    unexpected = [(name, lines) for name, lines in failed if name not in red]
    stale = [name for name, lines in results if not lines and name in red]
    for name, lines in unexpected:
        print(f"FAILED {name}")
        for line in lines:
            print(line[:MAX_FAILURE_CHARACTERS])
    for name, _ in failed:
        if name in red:
            print(f"KNOWN RED {name}")
    for name in stale:
        print(f"LISTED IN KNOWN-RED.txt BUT PASSING {name}")
    print(f"{len(results) - len(failed)} passed, {len(failed)} failed")
    return 0 if results and not unexpected and not stale else 1


if __name__ == "__main__":
    sys.exit(main())
