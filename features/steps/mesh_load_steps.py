"""Steps for the load model."""

import dataclasses
import sys

from behave import given
from behave import then
from behave import when

from jasminecrank.standins import fleet

SPEEDS = (0.6, 1.0, 1.4)
KUOPIO = fleet.Scenario(
    speeds=SPEEDS,
    servers=6,
    slots=12,
    data_centres=4,
    request_classes=(
        fleet.RequestClass("lookup", 252, 0.09, 0.3, 2.0, 2),
        fleet.RequestClass("booking", 126, 0.12, 0.4, 2.5, 1),
    ),
)
LANDESAMT = fleet.Scenario(
    speeds=SPEEDS,
    servers=9,
    slots=6,
    data_centres=3,
    request_classes=(
        fleet.RequestClass("search", 66, 0.22, 0.6, 4.0, 2),
        fleet.RequestClass("dedication", 35, 0.29, 0.8, 5.0, 1),
    ),
)
KUOPIO_GROWN = fleet.Scenario(
    speeds=SPEEDS,
    servers=72,
    slots=6,
    data_centres=4,
    request_classes=(
        fleet.RequestClass("lookup", 345, 0.26, 0.8, 5.0, 2),
        fleet.RequestClass("booking", 173, 0.34, 1.0, 6.0, 1),
    ),
)
LANDESAMT_GROWN = fleet.Scenario(
    speeds=SPEEDS,
    servers=55,
    slots=3,
    data_centres=4,
    request_classes=(
        fleet.RequestClass("search", 153, 0.22, 0.6, 4.0, 2),
        fleet.RequestClass("dedication", 82, 0.29, 1.0, 6.0, 1),
    ),
)
DOCS_PLATFORM = fleet.Scenario(
    speeds=(0.7, 0.7, 1.6),
    servers=32,
    slots=9,
    data_centres=4,
    request_classes=(
        fleet.RequestClass("page-read", 483, 0.27, 0.814, 2.0, 0, 0.8),
    ),
)
COMICS = fleet.Scenario(
    speeds=SPEEDS,
    servers=38,
    slots=6,
    data_centres=3,
    request_classes=(
        fleet.RequestClass("page-view", 363, 0.2, 0.619, 4.1, 2, 0.6),
    ),
    slow_factor=2.5,
)
BASE_POLICIES = (
    fleet.PlacementPolicy.MESH,
    fleet.PlacementPolicy.RANDOM,
    fleet.PlacementPolicy.FEWEST_CALLS,
)
SCENARIO_BY_SITE = {
    "Kuopio": KUOPIO,
    "Landesamt": LANDESAMT,
    "Kuopio grown": KUOPIO_GROWN,
    "Landesamt grown": LANDESAMT_GROWN,
    "Docs platform": DOCS_PLATFORM,
    "Comics": COMICS,
}
SEED = 1


@given("the load of {site} for {seconds:d} s, {trouble}")
def step_load(context, site, seconds, trouble):
    scenario = SCENARIO_BY_SITE[site]
    changes = {"duration_s": float(seconds)}
    match trouble:
        case "a burst":
            changes["burst_factor"] = 1.7
        case "a server slow":
            changes["slow_servers"] = 1
        case "a sixth slow":
            changes["slow_servers"] = scenario.servers // 6
        case "servers joining":
            changes["joining_servers"] = max(1, scenario.servers // 6)
    context.load = dataclasses.replace(scenario, **changes)


@when("it is simulated with each policy")
def step_simulate_all(context):
    _simulate(context, BASE_POLICIES)


@when("it is simulated with all ways that were weighed")
def step_simulate_weighed(context):
    _simulate(context, fleet.PlacementPolicy)


def _simulate(context, policies):
    context.outcome_by_policy = {
        policy: fleet.LoadModel(context.load, policy, SEED).run()
        for policy in policies
    }
    for policy, outcome in context.outcome_by_policy.items():
        sys.stdout.write(
            f"{policy.value}: in time {outcome.in_target_ratio:.3f}, "
            f"late {outcome.late}, refused {outcome.refused}, "
            f"busiest server {outcome.peak_to_mean_calls:.2f}\n"
        )


@when("it is simulated with the policy of the nodes")
def step_simulate_mesh(context):
    model = fleet.LoadModel(context.load, fleet.PlacementPolicy.MESH, SEED)
    context.outcome_by_policy = {fleet.PlacementPolicy.MESH: model.run()}


@then("the nodes answer {least:g} or more within the objective")
def step_in_target(context, least):
    outcome = context.outcome_by_policy[fleet.PlacementPolicy.MESH]
    assert outcome.in_target_ratio >= least, outcome.in_target_ratio


@then("that is {gain:g} or more above random placement")
def step_gain(context, gain):
    mesh = context.outcome_by_policy[
        fleet.PlacementPolicy.MESH
    ].in_target_ratio
    random = context.outcome_by_policy[
        fleet.PlacementPolicy.RANDOM
    ].in_target_ratio
    assert mesh >= random + gain, (mesh, random)


@then("no more than {far:g} of the runs are in another data centre")
def step_cross_data_centre(context, far):
    outcome = context.outcome_by_policy[fleet.PlacementPolicy.MESH]
    runs = sum(outcome.calls_by_server.values())
    assert outcome.cross_data_centre_calls <= far * runs


@then("each joining server gets a call within {seconds:g} s")
def step_joining(context, seconds):
    load = context.load
    first_s = context.outcome_by_policy[
        fleet.PlacementPolicy.MESH
    ].first_call_s_by_server
    for server in range(load.servers - load.joining_servers, load.servers):
        assert server in first_s, server
        assert first_s[server] <= load.middle_third_s[0] + seconds


@then(
    "by the outlook {least:g} or more are answered within the objective, "
    "{gain:g} more than by {other}"
)
def step_outlook(context, least, gain, other):
    by_policy = context.outcome_by_policy
    outlook = by_policy[fleet.PlacementPolicy.OUTLOOK].in_target_ratio
    compared = by_policy[fleet.PlacementPolicy(other)].in_target_ratio
    assert outlook >= least and outlook >= compared + gain, (
        outlook,
        compared,
    )
