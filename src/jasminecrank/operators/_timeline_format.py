"""Text and HTML layouts of the timeline."""

from collections.abc import Iterable
from collections.abc import Iterator
import datetime
import html

from jasminecrank.operators import _timeline

_STYLE = """
body { font: 13px sans-serif; margin: 1em; }
table { border-collapse: collapse; }
th { position: sticky; top: 0; background: #eee; }
th, td { border-left: 1px solid #bbb; padding: 2px 6px; text-align: left; }
td.time { font-family: monospace; white-space: nowrap; }
td.event { background: #def; }
td.alarm { background: #fdd; }
"""
_ALARM_WORDS = ("paused", "invalid", "conflict", "failed", "violated", "down")


def format_timeline(
    entries: Iterable[_timeline.TimelineEntry],
) -> Iterator[str]:
    """Yield a line of text for each entry."""
    for entry in entries:
        position = entry.position
        yield (
            f"{_format_time(position)} {position.host:<20} {entry.event:<18} "
            f"{entry.text()}"
        ).rstrip()


def format_html(
    entries: Iterable[_timeline.TimelineEntry],
) -> Iterator[str]:
    """Yield a self-contained page with a column for each host."""
    rows = tuple(entries)
    hosts = sorted({entry.position.host for entry in rows})
    yield "<!DOCTYPE html>"
    yield '<html lang="en"><head><meta charset="utf-8">'
    yield f"<title>Timeline</title><style>{_STYLE}</style></head><body>"
    headers = "".join(f"<th>{html.escape(host)}</th>" for host in hosts)
    yield f"<table><thead><tr><th>time</th>{headers}</tr></thead><tbody>"
    for entry in rows:
        yield _html_row(entry, hosts)
    yield "</tbody></table></body></html>"


def _html_row(entry: _timeline.TimelineEntry, hosts: list[str]) -> str:
    column = hosts.index(entry.position.host)
    alarm = any(word in entry.event for word in _ALARM_WORDS)
    style = "alarm" if alarm else "event"
    text = html.escape(entry.text())
    cell = f'<td class="{style}"><b>{html.escape(entry.event)}</b> {text}</td>'
    left = "<td></td>" * column
    right = "<td></td>" * (len(hosts) - column - 1)
    time = _format_time(entry.position)
    return f'<tr><td class="time">{time}</td>{left}{cell}{right}</tr>'


def _format_time(position: _timeline.Position) -> str:
    timestamp = datetime.datetime.fromtimestamp(
        position.wall_ms / 1000, datetime.UTC
    )
    text = timestamp.strftime("%Y-%m-%d %H:%M:%S")
    return f"{text}.{position.wall_ms % 1000:03d}+{position.counter:<3d}"
