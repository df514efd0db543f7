"""Command line of jasminecrank."""

from jasminecrank.cli._main import main as main
