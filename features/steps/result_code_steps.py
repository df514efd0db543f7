"""Steps for the documented result codes and invariants."""

import pathlib
import re

from behave import given
from behave import then

from jasminecrank import exceptions

ROOT = pathlib.Path(__file__).resolve().parents[2]


@given("the page {page}")
def step_page(context, page):
    context.page = (ROOT / page).read_text()


@then("it lists exactly the result codes of the program")
def step_codes(context):
    rows = re.findall(r"^\| (\d+) \| (\w+) \|", context.page, re.MULTILINE)
    documented = {(int(number), name) for number, name in rows}
    known = {(code.value, code.name) for code in exceptions.ResultCode}
    assert documented == known, documented ^ known


@then("its table of invariants names exactly the files that assert them")
def step_invariants(context):
    source = ROOT / "src" / "jasminecrank"
    rows = re.findall(
        r"^\| \d+ \| .* \| (9\d\d) \| (.*) \|$", context.page, re.MULTILINE
    )
    documented = {
        int(code): set(re.findall(r"`([^`]+)`", files)) for code, files in rows
    }
    asserted = {
        code.value: {
            str(path.relative_to(source))
            for path in source.rglob("*.py")
            if re.search(rf"ResultCode\.{code.name}\b", path.read_text())
        }
        for code in exceptions.ResultCode
        if code.value >= 901
    }
    assert documented == asserted, (documented, asserted)
