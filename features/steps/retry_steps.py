"""Steps for the attempts of a call and for the retry budget."""

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from jasminecrank import exceptions
from jasminecrank import state

ResultCode = exceptions.ResultCode
RunState = exceptions.RunState
SERVER_ANSWER = state.Answer(200, (), b"")
NOT_RUN_ANSWER = state.Answer(503, (("x-run-state", "not-run"),), b"")

# The result that the caller's node sees, with the possible numbers of runs.
RESULTS_AND_RUNS = (
    (state.NothingSent(ResultCode.BACKEND_UNREACHABLE), (0,)),
    (state.ClosedBeforeRequest(ResultCode.BACKEND_UNREACHABLE), (0,)),
    (state.AnswerLost(ResultCode.ANSWER_CUT), (0, 1)),
    (state.AnswerLost(ResultCode.BACKEND_TIMEOUT), (0, 1)),
    (state.Shed(NOT_RUN_ANSWER, True), (0,)),
    (state.Shed(state.Answer(503, (), b""), False), (0, 1)),
    (
        state.NodeRefused(
            NOT_RUN_ANSWER, ResultCode.QUEUE_FULL, RunState.NOT_RUN
        ),
        (0,),
    ),
    (
        state.NodeRefused(
            SERVER_ANSWER, ResultCode.ANSWER_CUT, RunState.MAY_HAVE_RUN
        ),
        (0, 1),
    ),
    (state.Answered(SERVER_ANSWER), (1,)),
)
ATTEMPT = strategies.sampled_from(
    [
        (result, runs)
        for result, run_counts in RESULTS_AND_RUNS
        for runs in run_counts
    ]
)


def check_call(kind, attempt_results, refusal_code):
    """Replay one call and compare its final step with the actual runs."""
    attempts = state.Attempts("call", may_retry=True)
    runs = 0
    step = None
    for number, (result, ran) in enumerate(attempt_results):
        attempts.begin(f"host-{number}", kind)
        runs += ran
        step = attempts.end(kind, result)
        if not isinstance(step, state.TryElsewhere):
            break
    if isinstance(step, state.TryElsewhere):
        step = (
            attempts.refuse(refusal_code)
            if refusal_code
            else attempts.conclude()
        )
    assert kind is state.RouteKind.LOOKUP or runs <= 1, attempt_results
    match step:
        case state.Refuse(run_state=RunState.NOT_RUN):
            assert runs == 0, attempt_results
        case state.Deliver():
            assert step.answer is not NOT_RUN_ANSWER or runs == 0, (
                attempt_results
            )


@when("{count:d} calls with random faults are made")
def step_random(context, count):
    @hypothesis.settings(max_examples=count)
    @hypothesis.given(
        strategies.sampled_from(state.RouteKind),
        strategies.lists(ATTEMPT, min_size=1, max_size=4),
        strategies.sampled_from([None, ResultCode.QUEUE_FULL]),
    )
    def run(kind, attempt_results, refusal_code):
        check_call(kind, attempt_results, refusal_code)

    context.run_random = run


@then("no booking has run twice and every refusal is correct")
def step_check_runs(context):
    context.run_random()


@given("a retry budget")
def step_budget(context):
    context.budget = state.RetryBudget()


@when("{calls:d} calls are counted and {wanted:d} retries requested")
def step_wanted(context, calls, wanted):
    context.taken = sum(context.budget.try_retry(calls) for _ in range(wanted))


@then("{taken:d} retries are granted")
def step_taken(context, taken):
    assert context.taken == taken, context.taken
