package review;

import java.util.List;

/** Settings of small deployments. */
final class Sites {
    static final List<String> ATRA_ZONES = List.of("sululta-north", "bole-east", "piassa-core");

    /** The machine types of atra-journeys, with the market prices of its site file. */
    static List<CloudService.Type> atraTypes() {
        List<String> halls = List.of("bole-east", "kality-south", "piassa-core", "sululta-north");
        return List.of(
            new CloudService.Type("entoto-small", 8, 0, 32, 35, 0.8, 0.55, 0.23, 50, halls, 2),
            new CloudService.Type("entoto-mid", 16, 0, 64, 50, 0.6, 1.06, 0.4, 30, halls, 2),
            new CloudService.Type("entoto-gpu", 32, 4, 128, 70, 0.4, 10.51, 4.67, 35, halls, 2));
    }

    /** The deployment section of atra-journeys, with two of its teams. */
    static String atra() {
        return """
            [deployment]
            initial_size = 3
            zones = ["bole-east", "kality-south", "piassa-core", "sululta-north"]
            clock_error_ms = 1000.0
            [[deployment.teams]]
            name = "kebena-ops-00"
            cpus = 0.0
            cpus_max = 0.0
            gpus = 0.0
            gpus_max = 0.0
            [[deployment.teams]]
            name = "kebena-ops-01"
            cpus = 0.0
            cpus_max = 0.0
            gpus = 0.0
            gpus_max = 0.0
            [[deployment.objectives]]
            kind = "wait"
            class = "merai-rebuild"
            within_s = 8.0
            share = 0.95
            [[deployment.objectives]]
            kind = "wait"
            class = "merai-rebuild"
            within_s = 18.0
            share = 0.97
            [[deployment.objectives]]
            kind = "finished"
            class = "merai-rebuild"
            within_s = 180.0
            share = 0.96
            [[deployment.objectives]]
            kind = "deadline"
            class = "tsehay-score"
            share = 0.9
            times = 1.0
            [deployment.workers]
            report_s = 3.0
            lease_s = 14.0
            gang_wait_s = 40.0
            gang_peer_s = 5.0
            cancel_s = 44.0
            [deployment.state]
            rps = 200.0
            write_rps = 50.0
            value_kb = 8.0
            txn_ops = 24
            [deployment.cloud]
            rps = 6.0
            list_lag_s = 5.0
            [deployment.resources]
            cpu_share = 0.204
            mem_mb = 181.0
            max_connections = 1200
            """;
    }

    /** A lab with the services and controllers of atra-journeys; machines boot in that many seconds. */
    static Lab atraLab(String caseFolder, double bootS) throws Exception {
        Lab lab = new Lab(caseFolder, 3, 14);
        lab.state = new StateService(200, 50, 24);
        lab.cloud = new CloudService(lab, atraTypes(), 6, 5, bootS);
        lab.startControllers(ATRA_ZONES, atra());
        return lab;
    }

    static final List<String> DERWENT_ZONES = List.of("hobart-west", "cove-south", "launceston-north");

    /** The machine types of derwent-members, with the prices of its site file. */
    static List<CloudService.Type> derwentTypes() {
        List<String> halls = List.of("cove-south", "hobart-west", "launceston-north");
        return List.of(
            new CloudService.Type("kunanyi-nodes", 32, 0, 128, 40, 0.15, 2.14, 0.77, 20, halls, 2),
            new CloudService.Type("tamar-gpu", 24, 2, 192, 60, 0.3, 7.54, 2.71, 25, halls, 1),
            new CloudService.Type("huon-gpu", 24, 4, 192, 60, 0.3, 10.33, 3.4, 60, halls, 1));
    }

    /** The deployment section of derwent-members, with two of its teams. */
    static String derwent() {
        return """
            [deployment]
            initial_size = 3
            zones = ["cove-south", "hobart-west", "launceston-north"]
            clock_error_ms = 5.0
            [[deployment.teams]]
            name = "coach-crew"
            cpus = 0.0
            cpus_max = 0.0
            gpus = 8.0
            gpus_max = 24.0
            [[deployment.teams]]
            name = "platform-crew"
            cpus = 0.0
            cpus_max = 0.0
            gpus = 16.0
            gpus_max = 32.0
            [[deployment.objectives]]
            kind = "deadline"
            class = "churn-report"
            share = 0.93
            times = 1.0
            [[deployment.objectives]]
            kind = "guarantee"
            within_s = 10.0
            share = 0.8
            [deployment.workers]
            report_s = 2.5
            lease_s = 14.0
            gang_wait_s = 40.0
            gang_peer_s = 8.0
            cancel_s = 39.0
            [deployment.state]
            rps = 200.0
            write_rps = 80.0
            value_kb = 16.0
            txn_ops = 16
            [deployment.cloud]
            rps = 4.0
            list_lag_s = 10.0
            [deployment.resources]
            cpu_share = 0.425
            mem_mb = 268.0
            max_connections = 1800
            """;
    }

    /** A lab with the services and controllers of derwent-members; machines boot in that many seconds. */
    static Lab derwentLab(String caseFolder, double bootS) throws Exception {
        Lab lab = new Lab(caseFolder, 2.5, 14);
        lab.state = new StateService(200, 80, 16);
        lab.cloud = new CloudService(lab, derwentTypes(), 4, 10, bootS);
        lab.startControllers(DERWENT_ZONES, derwent());
        return lab;
    }

    private Sites() {
    }
}
