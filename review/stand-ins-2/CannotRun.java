/** The case could not run, so that it shows nothing. */
@SuppressWarnings("serial")
final class CannotRun extends RuntimeException {
    CannotRun(String reason) {
        super(reason);
    }
}
