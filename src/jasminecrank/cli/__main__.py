"""Entry point for python -m jasminecrank.cli."""

from jasminecrank.cli import main

main()
