package io.agatelane.cli;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import com.fasterxml.jackson.databind.JsonNode;
import com.google.protobuf.Message;
import io.agatelane.wire.operator.ApplyRequest;
import io.agatelane.wire.operator.ApplyResponse;
import io.agatelane.wire.operator.ConfigObject;
import io.agatelane.wire.operator.DeleteRequest;
import io.agatelane.wire.operator.ExplainRequest;
import io.agatelane.wire.operator.GetRequest;
import io.agatelane.wire.operator.Kind;
import io.agatelane.wire.operator.ListRequest;
import io.agatelane.wire.operator.ListResponse;
import io.agatelane.wire.operator.SetDrainingRequest;
import io.agatelane.wire.operator.StatusRequest;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.UUID;
import java.util.function.Consumer;

/** The commands of {@code agatelane ctl}. */
final class CtlCommands {
    private static final long ANY_VERSION = -1;

    private final Options.Ctl options = new Options.Ctl();
    private final Options.Get get = new Options.Get();
    private final Options.ListObjects list = new Options.ListObjects();
    private final Options.Apply apply = new Options.Apply();
    private final Options.Delete delete = new Options.Delete();
    private final Options.Status status = new Options.Status();
    private final Options.Explain explain = new Options.Explain();
    private final Options.Drain drain = new Options.Drain();
    private final Options.Undrain undrain = new Options.Undrain();
    private final Map<String, Options.Common> commands = new LinkedHashMap<>();

    CtlCommands() {
        commands.put("get", get);
        commands.put("list", list);
        commands.put("apply", apply);
        commands.put("delete", delete);
        commands.put("status", status);
        commands.put("explain", explain);
        commands.put("drain", drain);
        commands.put("undrain", undrain);
    }

    Options.Ctl options() {
        return options;
    }

    void addTo(JCommander ctl) {
        commands.forEach(ctl::addCommand);
    }

    ExitCode run(JCommander ctl, PrintStream out, Consumer<JCommander> usage) {
        String command = ctl.getParsedCommand();
        if (options.help) {
            usage.accept(ctl);
            return ExitCode.DONE;
        }
        if (command == null) {
            throw new ParameterException("expected a command: " + String.join(", ", commands.keySet()));
        }
        if (commands.get(command).help) {
            usage.accept(ctl.getCommands().get(command));
            return ExitCode.DONE;
        }
        if (options.rpc == null) {
            throw new ParameterException("--rpc: expected IP:PORT of a router");
        }
        if (!options.format.equals("table") && !options.format.equals("json")) {
            throw new ParameterException("--format: expected table or json, found " + options.format);
        }
        // Reads and checks all input before a connection is opened, so that invalid input leaves no partly applied
        // change.
        Consumer<OperatorClient> call = prepare(command, out);
        try (OperatorClient client = new OperatorClient(options.rpc, options.timeoutMillis)) {
            call.accept(client);
        }
        return ExitCode.DONE;
    }

    private Consumer<OperatorClient> prepare(String command, PrintStream out) {
        return switch (command) {
            case "get" -> {
                GetRequest request = GetRequest.newBuilder()
                        .setKind(kind(argument(get.arguments, 0, 2)))
                        .setName(argument(get.arguments, 1, 2))
                        .build();
                yield client ->
                        print(out, client.call(stub -> stub.get(request)).getObject());
            }
            case "list" -> {
                ListRequest request = ListRequest.newBuilder()
                        .setKind(kind(argument(list.arguments, 0, 1)))
                        .build();
                yield client -> printList(out, client.call(stub -> stub.list(request)));
            }
            case "apply" -> applyCall(out);
            case "delete" -> {
                DeleteRequest request = DeleteRequest.newBuilder()
                        .setKind(kind(argument(delete.arguments, 0, 2)))
                        .setName(argument(delete.arguments, 1, 2))
                        .setExpectedVersion(delete.expectedVersion == null ? ANY_VERSION : delete.expectedVersion)
                        .setChangeId(changeId(delete.changeId))
                        .setWaitMillis(delete.waitMillis)
                        .build();
                yield client -> print(
                        out, client.change(request.getChangeId(), delete.waitMillis, stub -> stub.delete(request)));
            }
            case "status" -> client ->
                    printStatus(out, client.call(stub -> stub.status(StatusRequest.getDefaultInstance())));
            case "explain" -> {
                ExplainRequest request = ExplainRequest.newBuilder()
                        .setClientAccount(explain.account)
                        .setBody(readFile(explain.file))
                        .build();
                yield client -> printExplain(out, client.call(stub -> stub.explain(request)));
            }
            case "drain" -> drainCall(out, drain.arguments, drain.changeId, true);
            default -> drainCall(out, undrain.arguments, undrain.changeId, false);
        };
    }

    private Consumer<OperatorClient> applyCall(PrintStream out) {
        JsonNode root = ProtoJson.parse(apply.file, readFile(apply.file));
        List<JsonNode> nodes = new ArrayList<>();
        if (root.isArray()) {
            root.forEach(nodes::add);
        } else {
            nodes.add(root);
        }
        if (apply.expectedVersion != null && nodes.size() != 1) {
            throw new ParameterException("--expected-version: expected a file with one object");
        }
        String changeId = changeId(apply.changeId);
        List<ApplyRequest> requests = new ArrayList<>();
        for (int i = 0; i < nodes.size(); i++) {
            ConfigObject.Builder object = ConfigObject.newBuilder();
            ProtoJson.merge(nodes.get(i), object, apply.file, root.isArray() ? "/" + i : "");
            long version = object.getVersion() == 0 ? ANY_VERSION : object.getVersion();
            requests.add(ApplyRequest.newBuilder()
                    .setObject(object)
                    .setExpectedVersion(apply.expectedVersion == null ? version : apply.expectedVersion)
                    .setChangeId(nodes.size() == 1 ? changeId : changeId + "-" + i)
                    // Revisions take effect in order, so waiting for the last one waits for all.
                    .setWaitMillis(i == nodes.size() - 1 ? apply.waitMillis : 0)
                    .build());
        }
        return client -> {
            List<ApplyResponse> accepted = new ArrayList<>();
            try {
                for (ApplyRequest request : requests) {
                    accepted.add(
                            client.change(request.getChangeId(), request.getWaitMillis(), stub -> stub.apply(request)));
                }
            } finally {
                // When an object is refused, the objects before it have already been applied.
                printAll(out, accepted);
            }
        };
    }

    private Consumer<OperatorClient> drainCall(PrintStream out, List<String> arguments, String id, boolean draining) {
        SetDrainingRequest request = SetDrainingRequest.newBuilder()
                .setUpstream(argument(arguments, 0, 1))
                .setDraining(draining)
                .setChangeId(changeId(id))
                .build();
        return client -> print(out, client.change(request.getChangeId(), 0, stub -> stub.setDraining(request)));
    }

    private void print(PrintStream out, Message message) {
        printAll(out, List.of(message));
    }

    private void printAll(PrintStream out, List<? extends Message> messages) {
        if (options.format.equals("json")) {
            messages.forEach(message -> out.println(ProtoJson.print(message)));
        } else if (!messages.isEmpty()) {
            Tables.print(out, messages);
        }
    }

    private void printList(PrintStream out, ListResponse response) {
        if (options.format.equals("json")) {
            out.println(ProtoJson.print(response));
        } else {
            Tables.print(out, response.getObjectsList());
        }
    }

    private void printStatus(PrintStream out, io.agatelane.wire.operator.StatusResponse response) {
        if (options.format.equals("json")) {
            out.println(ProtoJson.print(response));
            return;
        }
        out.println("revision " + response.getRevision() + ", platform "
                + (response.getPlatformReachable() ? "reachable" : "not reachable"));
        Tables.print(out, response.getVmsList());
        Tables.print(out, response.getUpstreamsList());
    }

    private void printExplain(PrintStream out, io.agatelane.wire.operator.ExplainResponse response) {
        if (options.format.equals("json")) {
            out.println(ProtoJson.print(response));
            return;
        }
        out.println("chosen " + response.getChosenUpstream());
        Tables.print(out, response.getCandidatesList());
    }

    private static String argument(List<String> arguments, int index, int count) {
        if (arguments.size() != count) {
            throw new ParameterException("expected " + count + " arguments, found " + arguments);
        }
        return arguments.get(index);
    }

    private static Kind kind(String text) {
        String name = text.toUpperCase(Locale.ROOT).replace('-', '_');
        for (Kind kind : Kind.values()) {
            boolean settable = kind != Kind.KIND_UNSPECIFIED && kind != Kind.UNRECOGNIZED;
            String plural = kind.name().endsWith("Y")
                    ? kind.name().substring(0, kind.name().length() - 1) + "IES"
                    : kind.name() + "S";
            if (settable && (name.equals(kind.name()) || name.equals(plural))) {
                return kind;
            }
        }
        throw new ParameterException(
                "expected a kind: client-account, model, routing-policy, service or upstream," + " found " + text);
    }

    private static String changeId(String requestedId) {
        return requestedId == null ? UUID.randomUUID().toString() : requestedId;
    }

    private static String readFile(String file) {
        try {
            byte[] bytes = file.equals("-") ? System.in.readAllBytes() : Files.readAllBytes(Path.of(file));
            return new String(bytes, StandardCharsets.UTF_8);
        } catch (IOException | InvalidPathException e) {
            throw new CliException(ExitCode.BAD_USAGE, file + ": expected a readable file: " + e);
        }
    }
}
