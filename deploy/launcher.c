/*
 * Starts the Python interpreter within this process, with signals held from the first instruction of main.
 *
 * Until a Python program can hold a signal, the interpreter has started for some 10 ms of processor time, and
 * much longer on a busy machine; meanwhile the default reaction to most signals ends the process. This program
 * depends on the C library alone, so it holds them sooner, and only then loads the interpreter's library and
 * passes its own arguments on: it is used like `python3`.
 *
 * `deploy/build.py` compiles it with two paths as string literals:
 *   PYTHON      the interpreter that ran the build, from which the standard library is found
 *   LIBPYTHON   the shared library of that interpreter
 *
 * Where that library is gone, the interpreter on the path takes this process over; signals stay held.
 */

#include <dlfcn.h>
#include <signal.h>
#include <stdio.h>
#include <unistd.h>

/* What a shell returns for a program that it can't run. */
enum { EXIT_CANNOT_RUN = 126 };

#define PYTHON_ON_PATH "python3"

/* The list of `HELD` in `deploy/serve.py`, where each is handled or ignored later. */
static const int HELD[] = {
    SIGTERM, SIGINT, SIGHUP, SIGUSR1, SIGUSR2, SIGALRM, SIGVTALRM, SIGPROF, SIGPIPE, SIGIO, SIGXCPU,
};

typedef int (*interpreter_main)(int argc, char **argv);

static void hold_signals(void)
{
    sigset_t held;
    sigemptyset(&held);
    for (size_t i = 0; i < sizeof HELD / sizeof HELD[0]; i++)
        sigaddset(&held, HELD[i]);
    sigprocmask(SIG_BLOCK, &held, NULL);
}

/* Return the interpreter's main function, or NULL if it can't be loaded. */
static interpreter_main load_interpreter(void)
{
    /* Global, because extension modules look for the interpreter's symbols in the process. */
    void *library = dlopen(LIBPYTHON, RTLD_NOW | RTLD_GLOBAL);
    return library ? (interpreter_main)dlsym(library, "Py_BytesMain") : NULL;
}

int main(int argc, char **argv)
{
    hold_signals();
    interpreter_main run = load_interpreter();
    if (!run) {
        fprintf(stderr, "warning: %s; " PYTHON_ON_PATH " is run instead\n", dlerror());
        argv[0] = PYTHON_ON_PATH;
        execvp(argv[0], argv);
        perror("error: " PYTHON_ON_PATH);
        return EXIT_CANNOT_RUN;
    }
    /* The interpreter finds its standard library by the path of its program. */
    argv[0] = PYTHON;
    return run(argc, argv);
}
