"""The jasminecrank command."""

from jasminecrank.cli._main import main as main
