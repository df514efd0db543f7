"""Steps for metrics, linear fits and caller plans."""

import pathlib
import re

from behave import given
from behave import then
from behave import when
from prometheus_client import parser
import urllib3

from jasminecrank.standins import _callers
from jasminecrank.standins import _measures
from jasminecrank.standins import _slopes
from jasminecrank.standins import _traffic

ROOT = pathlib.Path(__file__).resolve().parents[2]


@when("the metrics of {host} are read")
def step_read(context, host):
    port = context.deployment.node_by_host[host].admin_port
    response = urllib3.request("GET", f"http://127.0.0.1:{port}/metrics")
    families = parser.text_string_to_metric_families(response.data.decode())
    context.samples = [
        sample for family in families for sample in family.samples
    ]


@then("docs/metrics.md lists every jasminecrank metric and no other")
def step_listed(context):
    text = (ROOT / "docs" / "metrics.md").read_text()
    listed = set(re.findall(r"^\| `(jasminecrank_\w+)`", text, re.MULTILINE))
    exported = {
        sample.name
        for sample in context.samples
        if sample.name.startswith("jasminecrank_")
        and not sample.name.endswith("_created")
    }
    assert listed == exported, listed ^ exported


@then("these counters are above 0")
def step_counted(context):
    for row in context.table:
        pairs = re.findall(r"(\w+)=(\w+)", row["labels"])
        values = [
            sample.value
            for sample in context.samples
            if sample.name == row["metric"] and sample.labels == dict(pairs)
        ]
        assert len(values) == 1 and values[0] > 0, (row, values)


@given("the points {points}")
def step_points(context, points):
    pairs = [point.split(":") for point in points.split(",")]
    context.slope = _slopes.Slope.from_points(
        "rows", "figure", "ms", [(float(x), float(y)) for x, y in pairs]
    )


@then("the fitted slope is {slope:f} with an intercept of {fixed:f}")
def step_slope(context, slope, fixed):
    assert abs(context.slope.per_size - slope) < 1e-9, context.slope
    assert abs(context.slope.value_at(0) - fixed) < 1e-9, context.slope


@then("the quantile {part:f} of {values} is {result:d}")
def step_quantile(context, part, values, result):
    numbers = [float(value) for value in values.split(",")]
    assert abs(_measures.quantile(numbers, part) - result) < 0.2


@then("a caller plan is unchanged after encoding and decoding")
def step_plan(context):
    kind = _callers.CallKind("GET", "/lots", False)
    stream = _callers.Stream("lots", "team", "key", (kind,), (1, 2), 2.5, 7)
    plan = _callers.Plan(1.0, 2.0, 10, 0.2, (stream, stream))
    assert _callers.decode_plan(_callers.encode_plan(plan)) == plan


@then(
    "traffic split over {hosts:d} hosts {spread} at {rate:d} calls/s keeps "
    "its rate on {used:d} hosts"
)
def step_split(context, hosts, spread, rate, used):
    spread_by_name = {
        "evenly": _traffic.EvenSpread(),
        "on one host": _traffic.SingleHostSpread(),
    }
    parts = list(_traffic.split_rate(spread_by_name[spread], hosts, rate))
    assert {first for first, _ in parts} == set(range(used)), parts
    assert abs(sum(part for _, part in parts) - rate) < 1e-6, parts
    assert max(part for _, part in parts) <= _traffic.MAX_STREAM_RATE
