"""Entry point of the command line and its exit statuses."""

import sys

import cyclopts

import jasminecrank
from jasminecrank import exceptions
from jasminecrank.cli import _audit
from jasminecrank.cli import _key
from jasminecrank.cli import _node
from jasminecrank.cli import _settings
from jasminecrank.cli import _standin
from jasminecrank.cli import _status
from jasminecrank.cli import _table

EXIT_FAILURE = 1
EXIT_USAGE = 2

app = cyclopts.App(
    name="jasminecrank",
    help="Configuration distribution system for a service mesh.",
    version=jasminecrank.__version__,
    config=cyclopts.config.Env("JASMINECRANK_", command=False),
)
app.command(_table.app)
app.command(_key.app)
app.command(_settings.app)
app.command(_standin.app)
app.command(_node.node)
app.command(_status.status)
_audit.add_commands(app)
app.register_install_completion_command()


def main() -> None:
    """Run the command and exit with its status."""
    try:
        result = app(
            exit_on_error=False,
            print_error=False,
            result_action="return_value",
        )
    except cyclopts.CycloptsError as error:
        _exit_with_error(str(error).strip().splitlines()[-1], EXIT_USAGE)
    except exceptions.JasminecrankError as error:
        _exit_with_error(f"{error} (code {error.code.value})", EXIT_USAGE)
    except OSError as error:
        _exit_with_error(str(error), EXIT_FAILURE)
    sys.exit(result if isinstance(result, int) else 0)


def _exit_with_error(message: str, status: int) -> None:
    sys.stderr.write(f"jasminecrank: {message}\n")
    sys.exit(status)
