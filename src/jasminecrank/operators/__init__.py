"""Operator tools: tables, reports, explanations and the fleet's status."""

from jasminecrank.operators._compile import compile_table as compile_table
from jasminecrank.operators._compile import read_compiled as read_compiled
from jasminecrank.operators._diff import diff_documents as diff_documents
from jasminecrank.operators._explain import CallTrace as CallTrace
from jasminecrank.operators._explain import explain_call as explain_call
from jasminecrank.operators._explain import read_tables as read_tables
from jasminecrank.operators._fleet import (
    format_fleet_status as format_fleet_status,
)
from jasminecrank.operators._fleet import NodeStatus as NodeStatus
from jasminecrank.operators._fleet import (
    read_fleet_status as read_fleet_status,
)
from jasminecrank.operators._node_explain import (
    explain_node_call as explain_node_call,
)
from jasminecrank.operators._node_explain import is_node_log as is_node_log
from jasminecrank.operators._node_explain import NodeTrace as NodeTrace
from jasminecrank.operators._node_explain import OUTCOMES as OUTCOMES
from jasminecrank.operators._node_explain import REASONS as REASONS
from jasminecrank.operators._report import MonthlyReport as MonthlyReport
from jasminecrank.operators._report_format import format_csv as format_csv
from jasminecrank.operators._report_format import format_text as format_text
from jasminecrank.operators._table_check import check_table as check_table
from jasminecrank.operators._table_check import exit_status as exit_status
from jasminecrank.operators._table_check import Finding as Finding
from jasminecrank.operators._table_check import FindingKind as FindingKind
from jasminecrank.operators._table_check import (
    format_findings as format_findings,
)
from jasminecrank.operators._table_files import (
    is_table_directory as is_table_directory,
)
from jasminecrank.operators._table_files import TableFiles as TableFiles
from jasminecrank.operators._table_files import TableProblem as TableProblem
from jasminecrank.operators._timeline import (
    read_fleet_timeline as read_fleet_timeline,
)
from jasminecrank.operators._timeline import (
    read_log_timeline as read_log_timeline,
)
from jasminecrank.operators._timeline import TimelineEntry as TimelineEntry
from jasminecrank.operators._timeline import TimelineFilter as TimelineFilter
from jasminecrank.operators._timeline_format import format_html as format_html
from jasminecrank.operators._timeline_format import (
    format_timeline as format_timeline,
)
