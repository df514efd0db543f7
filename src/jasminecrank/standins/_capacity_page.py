"""Generator of the page docs/CAPACITY.md."""

from collections.abc import Iterable
from collections.abc import Iterator

from jasminecrank.standins import _capacity
from jasminecrank.standins import _slopes

_INTRODUCTION = """\
# Capacity

Written by `script/capacity --page docs/CAPACITY.md`. Every figure of the
section Slopes is measured by that command on one shared machine, on loopback;
every other figure is worked out from these slopes for the size in
[design.md](design.md), section 2: {hosts:,} hosts, 180 services, 10 data
centres, 3 regions, {calls:,} calls/s, {changes:,} table changes a day.
Assumed: 8 teams and 4 routes a service ({rows:,} table rows); each of 9
failures and 660 restarts a day is 2 versions of the host list; a rack is 44
hosts. A line that does not fit its limit says so in its first column.

The links of a role follow the design page: two trees of fan-out 8 in each
data centre, {watchers} watchers, and the hosts of the same service. Names of
the synthetic documents are alike, so real documents compress less well:
take the published form, not the snapshot message, as the bound of a
snapshot's bytes. Loans between quota holders are not in these slopes;
`script/measure --scenario one-host-callers` shows their bytes beside
`--scenario even`.

## Roles on an ordinary day

Limits: control bytes 4,000 bytes/s, control processor time 1 % of a core,
memory 256 MB. Calls are not control; their processor time stands in a column
of its own.

| fits | role | links | control bytes/s | control % of core | memory MB \
| calls % of core |
|---|---|---|---|---|---|---|"""

_CHANGES = """\

**Against the limits.** {lacks} What each figure consists of, and the
change that lowers it:

- Watcher, control bytes: the source publishes whole documents, so each of
  {changes_per_s:.3f} changes/s costs a watcher a whole document,
  {source:,.0f} bytes/s together. One published value for each service and
  for the hosts of each service, read only where its number rose, brings this
  to about {split:,.0f} bytes/s. The peers' deltas stay as they are.
- Processor time: one changed row costs {offer:.1f} ms in a node that holds
  {all_rows:,} rows, {offer_row:.2f} us for each row held. The digest of the
  changed table is {digest:.1f} ms of it; a digest for each service, under
  one over these digests, would make the cost depend on the delta.
- Processor time, idle: every link costs {peer:.3f} % of a core; heartbeats
  every 10 s instead of 5 s would halve that part.

## One change

The longest path is source, watcher, another data centre's watcher and the
levels of a tree. Its processor time is {path:.2f} s against the limit of
14 s; the rest is left to network and waiting. A parent that falls silent is
noticed after 15 s only, above the limit; within it the second tree carries
the change.

## The source

Limit: 2,000 reads/s over all readers; a waiting watch counts as one call.

| fits | situation | waiting watches | calls/s | derivation |
|---|---|---|---|---|"""

_EVENTS = """\

A mass return from the source alone moves {total:.1f} GB; nodes therefore ask
peers first, and use the source within their call budget of
0.5 x 2,000 / {hosts:,} = {budget:.2f} reads/s each.

- Loss of a rack: 44 hosts fall out of the list one by one. Each version is
  one delta message of {delta:.0f} bytes a link and {offer:.1f} ms of
  processor time a node; 44 in one minute use {rack:.1f} % of a core during
  that minute.
- Loss of a data centre: one version of `outages` moves the traffic; the
  calls of {share:.0f} % of the hosts spread over the others, from
  {node_calls:.0f} to {moved_calls:.0f} calls/s a node, which is
  {moved_cpu:.0f} % of a core.
- Loss of the link between regions: each side serves with its own shares and
  the last accepted versions; a change reaches the regions that the source
  reaches. After the return one Hello a link shows the versions, and one
  delta or snapshot follows.
- Mass return: see the table; {return_s:.0f} s at the source's budget, within
  the limit of 14 s only if peers serve part of the nodes or the source
  answers without delay.

## What each role holds and says

| role | state | messages | mechanism |
|---|---|---|---|"""

_SLOPES = """\

## Slopes

Measured by `script/capacity`; "per size" is the slope of the least-squares
line, "fixed" its value at size zero, points are size: figure.

| size | figure | unit | per size | fixed | points |
|---|---|---|---|---|---|"""


def write_page(slopes: Iterable[_slopes.Slope]) -> Iterator[str]:
    """Yield the page in Markdown, in blocks of one or more lines."""
    measured = tuple(slopes)
    capacity = _capacity.Capacity(measured)
    yield _INTRODUCTION.format(
        hosts=capacity.hosts,
        calls=_capacity.CALLS_PER_S,
        changes=_capacity.TABLE_CHANGES_PER_DAY,
        rows=capacity.table_rows,
        watchers=capacity.watchers,
    )
    figures = [capacity.figures(role) for role in capacity.roles()]
    for one in figures:
        yield (
            f"| {_fits(one)} | {one.role.name} | {one.role.links} "
            f"| {one.control_bytes_per_s:,.0f} "
            f"| {one.processor_percent:.2f} | {one.memory_mb:.0f} "
            f"| {one.call_processor_percent:.0f} |"
        )
    yield from _write_changes(capacity, figures)
    for load in capacity.source_loads():
        total = load.calls_per_s + load.pending_watches
        fits = "yes" if total <= _capacity.SOURCE_CALLS_LIMIT else "**no**"
        yield (
            f"| {fits} | {load.situation} | {load.pending_watches} "
            f"| {load.calls_per_s:,.1f} | {load.derivation} |"
        )
    yield _write_events(capacity)
    for role in capacity.roles():
        yield (
            f"| {role.name} | {role.state} | {role.messages} "
            f"| {role.mechanism} |"
        )
    yield _SLOPES
    for slope in measured:
        points = ", ".join(f"{x:.4g}: {y:.4g}" for x, y in slope.points)
        yield (
            f"| {slope.size} | {slope.figure} | {slope.unit} "
            f"| {slope.per_size:.4g} | {slope.fixed:.4g} | {points} |"
        )


def _write_changes(
    capacity: _capacity.Capacity, figures: list[_capacity.RoleFigures]
) -> Iterator[str]:
    lacking = [one.role.name for one in figures if _fits(one) != "yes"]
    yield _CHANGES.format(
        lacks=(
            f"Above a limit: {'; '.join(lacking)}."
            if lacking
            else "Every role is within its limits."
        ),
        changes_per_s=capacity.changes_per_s(),
        source=capacity.source_bytes_per_s(),
        split=capacity.split_source_bytes_per_s(),
        all_rows=capacity.all_rows,
        offer=_offer_ms(capacity),
        offer_row=1000
        * capacity.slope("rows of all", "offer of one").per_size,
        digest=capacity.slope("table rows", "digest").value_at(
            capacity.table_rows
        ),
        peer=capacity.slope("peers", "processor time").per_size,
        path=capacity.convergence_s(),
    )


def _write_events(capacity: _capacity.Capacity) -> str:
    node_calls = _capacity.CALLS_PER_S / capacity.hosts
    left = capacity.hosts - capacity.data_centre_hosts
    moved_calls = _capacity.CALLS_PER_S / left
    call_percent = capacity.slope("calls/s", "processor time").per_size
    budget = 0.5 * _capacity.SOURCE_CALLS_LIMIT
    return_s = next(
        5 * capacity.hosts / load.calls_per_s
        for load in capacity.source_loads()
        if load.calls_per_s == budget
    )
    return _EVENTS.format(
        total=capacity.hosts * capacity.published_bytes() / 1e9,
        hosts=capacity.hosts,
        budget=budget / capacity.hosts,
        delta=capacity.slope("rows of all", "delta message").value_at(0),
        offer=_offer_ms(capacity),
        rack=44 * _offer_ms(capacity) / 60 / 10,
        share=100 * capacity.data_centre_hosts / capacity.hosts,
        node_calls=node_calls,
        moved_calls=moved_calls,
        moved_cpu=call_percent * moved_calls,
        return_s=return_s,
    )


def _offer_ms(capacity: _capacity.Capacity) -> float:
    return capacity.slope("rows of all", "offer of one").value_at(
        capacity.all_rows
    )


def _fits(one: _capacity.RoleFigures) -> str:
    above = []
    if one.control_bytes_per_s > _capacity.CONTROL_BYTES_LIMIT:
        above.append("bytes")
    if one.processor_percent > _capacity.PROCESSOR_LIMIT:
        above.append("processor time")
    if one.memory_mb > _capacity.MEMORY_LIMIT_MB:
        above.append("memory")
    return f"**no: {', '.join(above)}**" if above else "yes"
