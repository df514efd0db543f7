"""Metrics of a node in the Prometheus text format."""

from collections.abc import Mapping

from jasminecrank.mesh import transport


def render(
    log: transport.JsonLog,
    gauges: Mapping[str, float],
    usable_servers: Mapping[str, int],
) -> bytes:
    """Return all counters, histograms and gauges as exposition text."""
    lines = []
    for (name, label), value in sorted(log.count_by_name.items()):
        labels = f'{{result="{label}"}}' if label else ""
        lines.append(f"jasminecrank_{name}_total{labels} {value}")
    for name, buckets in sorted(log.buckets_by_name.items()):
        metric = f"jasminecrank_{name}_duration_seconds"
        total = 0
        bounds = [str(bound_s) for bound_s in transport.HISTOGRAM_BOUNDS_S]
        for bound, count in zip([*bounds, "+Inf"], buckets, strict=True):
            total += count
            lines.append(f'{metric}_bucket{{le="{bound}"}} {total}')
        lines.append(f"{metric}_sum {log.sum_by_name[name]:.6f}")
        lines.append(f"{metric}_count {total}")
    for name, gauge in sorted(gauges.items()):
        lines.append(f"jasminecrank_{name} {gauge:g}")
    for service, usable in sorted(usable_servers.items()):
        lines.append(
            f'jasminecrank_usable_servers{{service="{_escape(service)}"}} '
            f"{usable}"
        )
    return "\n".join(lines).encode() + b"\n"


def _escape(label: str) -> str:
    return label.replace("\\", r"\\").replace('"', r"\"")
