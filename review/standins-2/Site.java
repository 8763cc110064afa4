import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** The files of a small deployment: control machines, one balancer and its servers. */
final class Site {
    static final String SERVICE = "shop";

    final Rig rig;
    final String listen = Rig.freeAddress();
    final String writer = Rig.freeAddress();
    final List<Server> servers = new ArrayList<>();

    Site(Rig rig, int serverCount) throws IOException {
        this.rig = rig;
        for (int i = 1; i <= serverCount; i++) {
            servers.add(new Server(rig, "u" + i));
        }
    }

    /** Writes the balancer's configuration: deploy/example.json at other addresses. */
    Path config() throws IOException {
        return config(Rig.freeAddress());
    }

    /** Writes the balancer's configuration with an address of discovery. */
    Path config(String discovery) throws IOException {
        String text = Files.readString(Path.of("deploy/example.json"));
        text = text.replaceAll("\"listen\": \"[^\"]*\"", "\"listen\": \"" + listen + "\"");
        text =
                text.replaceAll(
                        "\"discovery\": \"[0-9.:]*\"",
                        "\"discovery\": \"" + discovery + "\"");
        text = text.replaceAll("\"ops\": \"[^\"]*\",", ""); // each process has its own, NODE_OPS
        return rig.write("balancer.json", text);
    }

    /** Writes the operator's file of the balancer, which takes its list from control machines. */
    Path operator(boolean keepsState, String... machines) throws IOException {
        String state =
                keepsState ? "[state]\nfolder = \"" + rig.folder.resolve("state") + "\"\n" : "";
        return rig.write(
                "operator.toml",
                "[log]\nformat = \"text\"\nlevel = \"info\"\n"
                        + state
                        + "[control]\nname = \"lb-1\"\nservice = \""
                        + SERVICE
                        + "\"\nservers = "
                        + list(List.of(machines))
                        + "\nlist = \"control\"\n");
    }

    Path writerFile() throws IOException {
        return rig.write(
                "writer.toml",
                "role = \"writer\"\nname = \"writer\"\nlisten = \""
                        + writer
                        + "\"\nfolder = \""
                        + rig.folder.resolve("writer")
                        + "\"\n");
    }

    Path followerFile(String name, String address, String... follows) throws IOException {
        return rig.write(
                name + ".toml",
                "role = \"follower\"\nname = \""
                        + name
                        + "\"\nlisten = \""
                        + address
                        + "\"\nfolder = \""
                        + rig.folder.resolve(name)
                        + "\"\nfollow = "
                        + list(List.of(follows))
                        + "\n");
    }

    private static String list(List<String> addresses) {
        return "[\"" + String.join("\", \"", addresses) + "\"]";
    }

    /** Returns the change that makes the service with all servers. */
    String firstChange() {
        StringBuilder put =
                new StringBuilder("{\"kind\":\"service\",\"name\":\"" + SERVICE + "\"}");
        for (Server server : servers) {
            put.append(',').append(upstream(server, "ready"));
        }
        return "{\"id\":\"first\",\"put\":[" + put + "],\"delete\":[]}";
    }

    /** Returns the change that drains servers. */
    static String drain(Server... servers) {
        StringBuilder put = new StringBuilder();
        for (Server server : servers) {
            put.append(put.isEmpty() ? "" : ",").append(upstream(server, "draining"));
        }
        return "{\"id\":\"drain\",\"put\":[" + put + "],\"delete\":[]}";
    }

    private static String upstream(Server server, String state) {
        return "{\"kind\":\"upstream\",\"service\":\""
                + SERVICE
                + "\",\"name\":\""
                + server.name
                + "\",\"address\":\""
                + server.address
                + "\",\"zone\":\"north\",\"upstreamKind\":\"fast\",\"cell\":0,\"state\":\""
                + state
                + "\",\"weight\":1}";
    }
}
