#ifndef BUILTIN_BUILTIN_H
#define BUILTIN_BUILTIN_H

/*
 * Commands of limpetctl.  argv[0] is the name of the command.  Each returns the
 * exit status: 0 on success, 1 on failure, EXIT_USAGE for an invalid command
 * line or input.
 */

#define EXIT_USAGE 2

int cmd_check(int argc, const char **argv);
int cmd_vet(int argc, const char **argv);
int cmd_collect(int argc, const char **argv);
int cmd_manifest(int argc, const char **argv);
int cmd_status(int argc, const char **argv);
int cmd_where(int argc, const char **argv);
int cmd_explain(int argc, const char **argv);
int cmd_drain(int argc, const char **argv);
int cmd_config(int argc, const char **argv);
int cmd_top(int argc, const char **argv);

#endif
