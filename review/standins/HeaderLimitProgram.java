import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** The operator raises headerBytes; kept channels go on with the old limit (KNOWN-RED 25). */
final class HeaderLimitProgram extends Case {
    private static final String KEY = "ctnfzs989anu6wsjnban";

    private HeaderLimitProgram(Path folder) throws Exception {
        super(folder);
    }

    public static void main(String[] args) throws Exception {
        run(new HeaderLimitProgram(Path.of(args[0])));
    }

    @Override
    boolean play() throws Exception {
        Worker worker = new Worker(record, store, "i-permit-0", "permit-app", ZONES[0], 6, 10);
        workers.add(worker);
        worker.register();
        String routes = route("r-file", "/file/", "unsafe", 1000, "permit-app", 1, false);
        String config = config(7, routes, plainService("permit-app"), 15000, "\"" + KEY + "\"");
        configure(7, trouble ? config.replace("\"headerBytes\":16384", "\"headerBytes\":4096") : config);
        startRouters(1);
        Thread.sleep(1_500);
        AtomicInteger denied = new AtomicInteger();
        List<Socket> kept = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            kept.add(new Socket("127.0.0.1", routers.get(0).callerPort));
            status(kept.get(i), 100);
        }
        configure(9, config.replace("\"version\":7", "\"version\":9"));
        Thread.sleep(CONFIGURATION_APPLY_MILLIS + 1_000);
        for (Socket socket : kept) {
            int status = status(socket, 6_000);
            denied.addAndGet(status == 431 ? 1 : 0);
            socket.close();
        }
        record.line(denied + " of " + kept.size() + " proper requests on kept channels were answered 431");
        try (Socket socket = new Socket("127.0.0.1", routers.get(0).callerPort)) {
            record.line("a head of over 9,000 bytes on a new channel is answered " + status(socket, 9_000));
        }
        return denied.get() <= 5;
    }

    private int status(Socket socket, int bytes) throws Exception {
        socket.setSoTimeout(3_000);
        socket.getOutputStream()
                .write(("POST /file/1 HTTP/1.1\r\nHost: permits.example\r\nRequest-Id: " + Caller.newId()
                                + "\r\nDeadline-Ms: 1000\r\nAuthorization: Token " + KEY + "\r\nX-Long: "
                                + "v".repeat(bytes) + "\r\nContent-Length: 1\r\n\r\na")
                        .getBytes());
        Http.Message answer = Http.read(socket.getInputStream(), true);
        record.line("client: header of " + bytes + " bytes, answered " + answer.startLine);
        return answer.status();
    }
}
