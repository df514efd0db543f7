"""What operators hold: table files, differences and the fleet's status."""

from jasminecrank.operators._compile import compile_table as compile_table
from jasminecrank.operators._compile import read_compiled as read_compiled
from jasminecrank.operators._diff import diff_documents as diff_documents
from jasminecrank.operators._fleet import format_fleet as format_fleet
from jasminecrank.operators._fleet import NodeView as NodeView
from jasminecrank.operators._fleet import read_fleet as read_fleet
from jasminecrank.operators._table_files import TableFiles as TableFiles
from jasminecrank.operators._table_files import TableProblem as TableProblem
