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


def run(arguments: list[str]) -> list[tuple[str, bool]]:
    """Run behave and return the name and success of each scenario."""
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
        (f"{feature['name']}: {element['name']}", passed(element))
        for feature in features
        for element in feature["elements"]
        if element["type"] == "scenario"
    ]


def passed(element: dict) -> bool:
    """Return whether every step of a scenario ran and passed."""
    return bool(element["steps"]) and all(
        step.get("result", {}).get("status") == "passed"
        for step in element["steps"]
    )


def main() -> int:
    """Print the counts and return the exit status."""
    results = run(sys.argv[1:])
    red = known_red()
    unexpected = [name for name, ok in results if not ok and name not in red]
    stale = [name for name, ok in results if ok and name in red]
    for name in unexpected:
        print(f"FAILED {name}")
    for name, ok in results:
        if not ok and name in red:
            print(f"KNOWN RED {name}")
    for name in stale:
        print(f"LISTED IN KNOWN-RED.txt BUT PASSING {name}")
    passed_count = sum(ok for _, ok in results)
    print(f"{passed_count} passed, {len(results) - passed_count} failed")
    return 0 if results and not unexpected and not stale else 1


if __name__ == "__main__":
    sys.exit(main())
