/**
 * DOC: report.h - JSON reports of control state for operators
 */
#ifndef BURDOCK_REPORT_H
#define BURDOCK_REPORT_H

#include "controller.h"

/**
 * burdock_report_json() - JSON text of the report @what, see burdock_control_report()
 * Returns text to be released with free(), or NULL for an unknown report.
 */
char *burdock_report_json (BurdockCore *core, const char *what);

#endif
