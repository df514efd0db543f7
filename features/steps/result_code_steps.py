"""Steps on the documented result codes."""

import pathlib
import re

from behave import given
from behave import then

from jasminecrank import exceptions

ROOT = pathlib.Path(__file__).resolve().parents[2]


@given("the page {page}")
def step_page(context, page):
    context.page = (ROOT / page).read_text()


@then("it lists exactly the codes of the program")
def step_codes(context):
    rows = re.findall(r"^\| (\d+) \| (\w+) \|", context.page, re.MULTILINE)
    documented = {(int(number), name) for number, name in rows}
    known = {(code.value, code.name) for code in exceptions.ResultCode}
    assert documented == known, documented ^ known
