"""Settings and hooks of behave for all features."""

import os
import traceback

from hypothesis import settings

os.environ.setdefault("JASMINECRANK_FATAL_INVARIANTS", "1")
settings.register_profile("ci", derandomize=True, deadline=None, database=None)
settings.load_profile("ci")


def after_scenario(context, scenario):
    """Close the resources that the scenario has opened."""
    del scenario
    stack = getattr(context, "exit_stack", None)
    if stack is not None:
        stack.close()
        context.exit_stack = None


def after_step(context, step):
    """Print the error of a step; the report has only failed assertions."""
    del context
    if step.status.name == "error" and step.exception is not None:
        traceback.print_exception(step.exception)
