"""Steps on the attempts of a call and on the retry budget."""

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from jasminecrank import exceptions
from jasminecrank import state

Code = exceptions.ResultCode
RunState = exceptions.RunState
SERVER = state.Answer(200, (), b"")
NOT_RUN = state.Answer(503, (("x-run-state", "not-run"),), b"")

# Each entry: what the caller's node sees, and how often the call can have run.
TRUTHS = (
    (state.NothingSent(Code.BACKEND_UNREACHABLE), (0,)),
    (state.ClosedBeforeRequest(Code.BACKEND_UNREACHABLE), (0,)),
    (state.AnswerLost(Code.ANSWER_CUT), (0, 1)),
    (state.AnswerLost(Code.BACKEND_TIMEOUT), (0, 1)),
    (state.Shed(NOT_RUN, True), (0,)),
    (state.Shed(state.Answer(503, (), b""), False), (0, 1)),
    (state.NodeRefused(NOT_RUN, Code.QUEUE_FULL, RunState.NOT_RUN), (0,)),
    (
        state.NodeRefused(SERVER, Code.ANSWER_CUT, RunState.MAY_HAVE_RUN),
        (0, 1),
    ),
    (state.Answered(SERVER), (1,)),
)
ATTEMPT = strategies.sampled_from(
    [(evidence, runs) for evidence, all_runs in TRUTHS for runs in all_runs]
)


def check_call(kind, script, decided):
    """Play one call and compare its end with what has really run."""
    attempts = state.Attempts("call", may_retry=True)
    runs = 0
    step = None
    for number, (evidence, ran) in enumerate(script):
        attempts.begin(f"host-{number}", kind)
        runs += ran
        step = attempts.end(kind, evidence)
        if not isinstance(step, state.TryElsewhere):
            break
    if isinstance(step, state.TryElsewhere):
        step = attempts.refuse(decided) if decided else attempts.conclude()
    assert kind is state.RouteKind.LOOKUP or runs <= 1, script
    match step:
        case state.Refuse(run_state=RunState.NOT_RUN):
            assert runs == 0, script
        case state.Deliver():
            assert step.answer is not NOT_RUN or runs == 0, script


@when("{count:d} calls with random faults are made")
def step_random(context, count):
    @hypothesis.settings(max_examples=count)
    @hypothesis.given(
        strategies.sampled_from(state.RouteKind),
        strategies.lists(ATTEMPT, min_size=1, max_size=4),
        strategies.sampled_from([None, Code.QUEUE_FULL]),
    )
    def run(kind, script, decided):
        check_call(kind, script, decided)

    context.run_random = run


@then("no booking has run twice and every refusal is true")
def step_truth(context):
    context.run_random()


@given("a retry budget")
def step_budget(context):
    context.budget = state.RetryBudget()


@when("{calls:d} calls are seen and {wanted:d} retries wanted")
def step_wanted(context, calls, wanted):
    context.taken = sum(context.budget.take(calls) for _ in range(wanted))


@then("{taken:d} retries are taken")
def step_taken(context, taken):
    assert context.taken == taken, context.taken
